package org.endivehold.grant;

import org.endivehold.misc.Epoch;

/** One grant in force at its holder. */
final class HeldGrant {
    private final Grant grant;
    private final long expiresAt;
    private final long sentAt;
    private long suspectedAt = Long.MIN_VALUE;
    private boolean givenUp;

    HeldGrant(Grant grant, long expiresAt, long sentAt) {
        this.grant = grant;
        this.expiresAt = expiresAt;
        this.sentAt = sentAt;
    }

    Grant grant() {
        return grant;
    }

    long expiresAt() {
        return expiresAt;
    }

    /** Returns when the request was sent that was answered last. */
    long sentAt() {
        return sentAt;
    }

    long suspectedAt() {
        return suspectedAt;
    }

    boolean isSuspected() {
        return suspectedAt != Long.MIN_VALUE;
    }

    void suspect(long at) {
        suspectedAt = Math.max(suspectedAt, at);
    }

    /** The holder hands the whole grant back; what is in flight is stated separately. */
    void giveUp() {
        givenUp = true;
    }

    int residualSlots() {
        return givenUp ? 0 : Math.min(grant.residualSlots(), grant.amount().slots());
    }

    /** Returns what may be used now. */
    Amount usable(long now) {
        return isSuspected() ? stated(now).min(residual()) : stated(now);
    }

    /** Returns what the holder counts as its own now; a suspicion hands nothing back. */
    Amount stated(long now) {
        if (givenUp) {
            return Amount.ZERO;
        }
        return now < expiresAt ? grant.amount() : residual();
    }

    boolean isOlderThan(Grant next) {
        Epoch epoch = grant.epoch();
        int order = epoch.compareTo(next.epoch());
        return order < 0 || (order == 0 && grant.serial() < next.serial());
    }

    private Amount residual() {
        return givenUp ? Amount.ZERO : grant.residual();
    }
}
