/** Watches for configuration changes, exchanges them with other daemons, and activates them. */
package org.endivehold.daemon.config;
