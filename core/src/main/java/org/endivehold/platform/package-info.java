/** Interfaces to the platform: the key-value service and the list of hosts. */
package org.endivehold.platform;
