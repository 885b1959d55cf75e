/** Configuration in the daemon: watching, spreading, activating. */
package org.endivehold.daemon.config;
