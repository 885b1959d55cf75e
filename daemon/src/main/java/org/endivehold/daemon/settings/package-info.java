/** The daemon's settings file. */
package org.endivehold.daemon.settings;
