/** The daemon: assembles the services and runs them. */
package org.endivehold.daemon;
