package org.endivehold.relay.engine;

/**
 * Decides whether a prompt is sent to the engines that suit it best, or waits for better ones.
 *
 * <p>An engine serves what it is given at once, side by side. So an engine that is given more than it can finish in
 * time makes all of it late: a prompt of 400,000 tokens holds up every stream of the engines that read it for seconds,
 * and the prompts behind it miss their aims too, are given up by their callers, come back and add to the load. Once
 * that state is reached, it feeds itself.
 *
 * <p>What a request is worth where it is sent now is its weight times the chance that it is on time, or little if it is
 * late anyway. It is sent if the harm that it does to others is at most twice that worth. Otherwise it waits at the
 * daemon, where it hurts nobody, until engines come free. A late request therefore still runs, but only where hardly
 * anybody is held up; and on engines that nobody uses everything starts at once. Who has waited for as long as the aim
 * is refused: it has not run, and its caller is told when to come back.
 *
 * <p>Example: a prompt of weight 40 would make ten short streams of weight 1.5 late. Sent in time it is worth 40, the
 * harm is 15: it starts. If it comes back late it is worth 1.2, and starts where it holds up no more than one or two
 * short streams.
 */
public final class StartRule {
    /** Harm to others that is accepted for each unit of the request's own worth. */
    private static final double HARM_FOR_WORTH = 2;
    /** Worth of a request that is late, relative to its weight. */
    private static final double LATE_WORTH = 0.03;
    /** Shortest time in which any engine produces an event, in milliseconds. */
    private static final double LEAST_EVENT_MILLIS = 100;
    /** Engines that read a long prompt together at best, for the shortest time that its read may take. */
    private static final int BEST_PARTS = 8;

    /** Shortest time for which a request waits for engines, in milliseconds. */
    private static final double LEAST_WAIT_MILLIS = 1_500;
    /** Part of the aim for the next event after which a refused caller comes back: others may be served meanwhile. */
    private static final double COME_BACK_AIMS = 0.5;

    private StartRule() {}

    /**
     * Tells whether a request is sent now.
     *
     * @param placement the best engines for it now
     * @param need the request
     * @return whether it is better sent than kept waiting
     */
    public static boolean starts(Placement placement, PromptNeed need) {
        if (placement.firstMillis() >= need.eventBudgetMillis()) {
            return false;
        }
        double weight = EngineJob.weight(need.promptTokens());
        double worth = Math.max(weight - placement.risk(), LATE_WORTH * weight);
        return placement.harm() <= HARM_FOR_WORTH * worth;
    }

    /**
     * Tells whether a request that waits is refused: its aim has passed, so its caller had better come back when the
     * engines are freer, or even free engines would be too late for it.
     *
     * @param readMillis time in which one engine alone reads the prompt
     * @param need the request
     * @return whether waiting further is of no use
     */
    public static boolean waitedEnough(double readMillis, PromptNeed need) {
        boolean late = need.elapsedMillis() > Math.max(LEAST_WAIT_MILLIS, need.firstAimMillis());
        return late || need.eventBudgetMillis() < Math.max(LEAST_EVENT_MILLIS, readMillis / BEST_PARTS);
    }

    /**
     * Returns when a caller that is refused may come back.
     *
     * @param pendingMillis time that the reads before the engines take on average
     * @param need the request
     * @return milliseconds
     */
    public static double comeBackMillis(double pendingMillis, PromptNeed need) {
        return pendingMillis + COME_BACK_AIMS * need.firstAimMillis();
    }
}
