package org.endivehold.grant;

import org.endivehold.config.Upstream;
import org.endivehold.misc.BootNumber;

/**
 * What one upstream can bear now: its declared cold capacity after each start, rising additively while fresh reports
 * show that it bears what it gets, and falling to half after an overload.
 *
 * <p>Nothing is believed that is not recent: without a fresh report, or while there is evidence of a new start that no
 * later report has settled, the upstream counts as cold. A rise is only judged by a report that was made after the rise
 * before it.
 *
 * <p>Example: 8 slots, 2 of them cold. After a boot 2; the engine says it is warm: 4, 6, 8 with the next three reports.
 * One overload event: 4. A new boot number: 2.
 */
final class CapacityRamp {
    /** Age from which a report says nothing about now. */
    static final long STALE_MILLIS = 5_000;

    private static final int STEPS = 4;

    private Upstream upstream;
    private UpstreamReport last;
    private int allowed;
    private long changedAt = Long.MIN_VALUE;
    private long suspectedAt = Long.MIN_VALUE;
    private int stated;
    private BootNumber statedBoot = BootNumber.ZERO;

    CapacityRamp(Upstream upstream) {
        this.upstream = upstream;
    }

    void configure(Upstream next) {
        upstream = next;
    }

    /**
     * Tells of capacity that was granted under an earlier grantor, as evidence of what the upstream bears if its next
     * report names the same boot.
     */
    void stated(int slots, BootNumber boot) {
        if (boot.compareTo(statedBoot) > 0) {
            statedBoot = boot;
            stated = 0;
        }
        if (boot.equals(statedBoot)) {
            stated += slots;
        }
    }

    /** There is evidence of a new start or of failure. */
    void suspect(long now) {
        suspectedAt = Math.max(suspectedAt, now);
    }

    void report(UpstreamReport report) {
        UpstreamReport before = last;
        if (before != null && report.takenAt() < before.takenAt()) {
            return;
        }
        last = report;
        if (report.cold()) {
            change(cold(), report);
        } else if (before == null || !before.boot().equals(report.boot())) {
            boolean known = before == null && report.boot().equals(statedBoot);
            change(known ? Math.max(cold(), stated) : cold(), report);
        } else if (report.overloadEvents() > before.overloadEvents()) {
            change(Math.max(cold(), allowed / 2), report);
        } else if (report.takenAt() >= changedAt && allowed < upstream.slots()) {
            change(allowed + Math.max(1, upstream.slots() / STEPS), report);
        }
    }

    BootNumber boot() {
        return last == null ? BootNumber.ZERO : last.boot();
    }

    long waitingPrefillTokens() {
        return last == null ? 0 : last.waitingPrefillTokens();
    }

    /**
     * Returns what the upstream bears.
     *
     * @param now monotonic time in milliseconds
     * @return slots and memory
     */
    Amount bears(long now) {
        if (!isFresh(now)) {
            return new Amount(cold(), upstream.memoryTokens());
        }
        Amount warm = new Amount(upstream.slots(), upstream.memoryTokens());
        return warm.min(last.limit()).min(new Amount(allowed, upstream.memoryTokens()));
    }

    int cold() {
        return Math.min(upstream.coldSlots(), upstream.slots());
    }

    private boolean isFresh(long now) {
        return last != null && now - last.takenAt() <= STALE_MILLIS && last.takenAt() > suspectedAt;
    }

    private void change(int slots, UpstreamReport report) {
        int next = Math.min(slots, upstream.slots());
        if (next != allowed) {
            allowed = next;
            changedAt = report.takenAt() + 1;
        }
    }
}
