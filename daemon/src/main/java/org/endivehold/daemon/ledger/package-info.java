/** The at-most-once ledger of the daemon: executes the procedures of {@code org.endivehold.ledger}. */
package org.endivehold.daemon.ledger;
