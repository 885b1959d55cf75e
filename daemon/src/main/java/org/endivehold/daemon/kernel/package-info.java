/** The microkernel: named services that are started in dependency order and stopped in reverse order. */
package org.endivehold.daemon.kernel;
