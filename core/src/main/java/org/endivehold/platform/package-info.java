/** Interface to the platform's key-value service. */
package org.endivehold.platform;
