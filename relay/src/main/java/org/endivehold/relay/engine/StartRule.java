package org.endivehold.relay.engine;

/**
 * Decides whether a request is sent to the best engines now, keeps waiting at the daemon, or is refused.
 *
 * <p>An engine runs everything that it is given at once, side by side. So an engine that is given more than it can
 * finish in time makes all of it late. A prompt of 400,000 tokens holds up every stream of the engines that prefill it
 * for seconds. The prompts behind it miss their targets too, their callers give up, retry and add to the load: the
 * overload sustains itself.
 *
 * <p>The value of sending a request now is its weight times the chance that it is on time, or a small share of its
 * weight if it will be late anyway. A request is admitted if its cost to others is at most twice that value. Otherwise
 * it waits at the daemon, where it delays nobody, until engines come free. A late request therefore still runs, but
 * only where it delays hardly anyone; and on idle engines everything is admitted at once. A request that has waited
 * longer than its target is refused: it has not run, and the caller is told when to retry.
 *
 * <p>Example: a prompt of weight 40 would make ten short streams of weight 1.5 late. Sent in time its value is 40 and
 * its cost to others 15, so it is admitted. If it is late its value is 1.2, and it is admitted only where it holds up
 * no more than one or two short streams.
 */
public final class StartRule {
    /** Cost to others that is accepted for each unit of the request's own value. */
    private static final double MAX_COST_PER_VALUE = 2;
    /** Value of a request that will be late, relative to its weight. */
    private static final double LATE_VALUE_SHARE = 0.03;
    /** Shortest time in which any engine produces an event, in milliseconds. */
    private static final double MIN_EVENT_MILLIS = 100;
    /** Engines assumed to prefill a long prompt together, for the shortest time that its prefill may take. */
    private static final int BEST_CASE_PARTS = 8;

    /** Waiting time up to which no request is refused as late, in milliseconds, even if its target is shorter. */
    private static final double MIN_WAIT_MILLIS = 1_500;
    /**
     * Part of the target for the next event after which the caller of a refused request may retry; others may be served
     * in the meantime.
     */
    private static final double RETRY_AFTER_TARGETS = 0.5;

    private StartRule() {}

    /**
     * Returns whether a request should be sent now.
     *
     * @param placement the best engines for it now
     * @param need the request
     * @return whether its first event can come in time to be of use, and its cost to others is acceptable
     */
    public static boolean admits(Placement placement, PromptNeed need) {
        if (placement.firstTokenMillis() >= need.eventBudgetMillis()) {
            return false;
        }
        double weight = need.weight();
        double value = Math.max(weight - placement.ownCost(), LATE_VALUE_SHARE * weight);
        return placement.costToOthers() <= MAX_COST_PER_VALUE * value;
    }

    /**
     * Returns whether a waiting request should be refused: it has waited longer than its target, so its caller should
     * retry when the engines are less loaded, or even idle engines would be too late for it.
     *
     * @param prefillMillis time in which one engine alone prefills the prompt
     * @param need the request
     * @return whether waiting any longer is of no use
     */
    public static boolean shouldRefuse(double prefillMillis, PromptNeed need) {
        return maxWaitMillis(prefillMillis, need) < 0;
    }

    /**
     * Returns how much longer a request may wait before it should be refused.
     *
     * @param prefillMillis time in which one engine alone prefills the prompt
     * @param need the request
     * @return milliseconds; negative if it should be refused now
     */
    public static double maxWaitMillis(double prefillMillis, PromptNeed need) {
        double untilLate = Math.max(MIN_WAIT_MILLIS, need.firstEventTargetMillis()) - need.elapsedMillis();
        double untilUseless = need.eventBudgetMillis() - Math.max(MIN_EVENT_MILLIS, prefillMillis / BEST_CASE_PARTS);
        return Math.min(untilLate, untilUseless);
    }

    /**
     * Returns the time after which the caller of a refused request may retry.
     *
     * @param pendingPrefillMillis length of the unfinished prefills of an engine, averaged over all engines
     * @param need the request
     * @return milliseconds
     */
    public static double retryAfterMillis(double pendingPrefillMillis, PromptNeed need) {
        return pendingPrefillMillis + RETRY_AFTER_TARGETS * need.firstEventTargetMillis();
    }
}
