/** Which daemons are registered. */
package org.endivehold.membership;
