/**
 * Failure detection between daemons as a pure state machine, in the manner of SWIM with Lifeguard's tolerance of one's
 * own pauses.
 */
package org.endivehold.membership;
