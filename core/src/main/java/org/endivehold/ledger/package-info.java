/**
 * At-most-once execution of non-idempotent calls, as state machines that perform no I/O.
 *
 * <p>A call's idempotency key is claimed in the key-value service before any byte is sent upstream, and its answer is
 * recorded afterwards. Each {@link org.endivehold.ledger.LedgerProcedure} makes one of these changes, and tolerates
 * lost answers and outages.
 */
package org.endivehold.ledger;
