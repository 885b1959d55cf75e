/** Failure detection between daemons as a pure state machine. */
package org.endivehold.membership;
