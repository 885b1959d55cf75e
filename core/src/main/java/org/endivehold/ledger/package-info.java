/**
 * At-most-once execution of non-idempotent calls, as pure state machines over the key-value service.
 *
 * <p>A call is claimed under its idempotency key before a byte goes upstream, and its answer is recorded afterwards.
 * Each {@link org.endivehold.ledger.LedgerProcedure} carries one of these changes through lost answers and outages.
 */
package org.endivehold.ledger;
