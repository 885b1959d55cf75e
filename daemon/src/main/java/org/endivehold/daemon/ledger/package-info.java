/** The at-most-once ledger of the daemon: carries the procedures of {@code org.endivehold.ledger} out. */
package org.endivehold.daemon.ledger;
