package org.endivehold.standin.engine;

/**
 * Faults of a stand-in engine.
 *
 * @param refuse whether it refuses all new work, truthfully
 * @param freeze whether it stands still: it accepts connections and says nothing
 * @param slowFactor everything takes this many times as long
 * @param loseAnswers whether it takes effect but closes the connection instead of answering
 */
public record EngineFaults(boolean refuse, boolean freeze, double slowFactor, boolean loseAnswers) {
    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(false, false, 1, false);

    /**
     * Changes one fault.
     *
     * @param value whether to refuse
     * @return the changed record
     */
    public EngineFaults withRefuse(boolean value) {
        return new EngineFaults(value, freeze, slowFactor, loseAnswers);
    }

    /**
     * Changes one fault.
     *
     * @param value whether to stand still
     * @return the changed record
     */
    public EngineFaults withFreeze(boolean value) {
        return new EngineFaults(refuse, value, slowFactor, loseAnswers);
    }

    /**
     * Changes one fault.
     *
     * @param value the factor, at least one
     * @return the changed record
     */
    public EngineFaults withSlowFactor(double value) {
        return new EngineFaults(refuse, freeze, value, loseAnswers);
    }

    /**
     * Changes one fault.
     *
     * @param value whether to lose answers
     * @return the changed record
     */
    public EngineFaults withLoseAnswers(boolean value) {
        return new EngineFaults(refuse, freeze, slowFactor, value);
    }
}
