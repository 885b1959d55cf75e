/** The service around the membership protocol of the core. */
package org.endivehold.daemon.membership;
