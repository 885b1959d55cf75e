/** Reads and validates the daemon's settings file. */
package org.endivehold.daemon.settings;
