/** The micro-kernel: services with names, started in the order of their needs. */
package org.endivehold.daemon.kernel;
