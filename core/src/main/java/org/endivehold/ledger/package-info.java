/** At-most-once execution of non-idempotent calls. */
package org.endivehold.ledger;
