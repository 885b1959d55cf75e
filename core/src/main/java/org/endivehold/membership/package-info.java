/** The list of registered daemons. */
package org.endivehold.membership;
