/** Sharing of upstream capacity between daemons by grants that expire, as pure state machines. */
package org.endivehold.grant;
