package org.endivehold.standin.engine;

/**
 * Faults injected into a stand-in engine.
 *
 * @param refuse whether it refuses all new work with an error that says that the work was not started
 * @param freeze whether it is frozen: it accepts connections, makes no progress and sends nothing
 * @param slowFactor factor by which every chunk and decoding step takes longer; values below 1 count as 1
 * @param loseAnswers whether calls take effect but the connection is closed instead of an answer
 */
public record EngineFaults(boolean refuse, boolean freeze, double slowFactor, boolean loseAnswers) {
    /** The engine works normally. */
    public static final EngineFaults NONE = new EngineFaults(false, false, 1, false);

    /**
     * Returns a copy with another value of {@code refuse}.
     *
     * @param value whether to refuse new work
     * @return the copy
     */
    public EngineFaults withRefuse(boolean value) {
        return new EngineFaults(value, freeze, slowFactor, loseAnswers);
    }

    /**
     * Returns a copy with another value of {@code freeze}.
     *
     * @param value whether to freeze
     * @return the copy
     */
    public EngineFaults withFreeze(boolean value) {
        return new EngineFaults(refuse, value, slowFactor, loseAnswers);
    }

    /**
     * Returns a copy with another value of {@code slowFactor}.
     *
     * @param value the factor, at least 1
     * @return the copy
     */
    public EngineFaults withSlowFactor(double value) {
        return new EngineFaults(refuse, freeze, value, loseAnswers);
    }

    /**
     * Returns a copy with another value of {@code loseAnswers}.
     *
     * @param value whether to lose answers
     * @return the copy
     */
    public EngineFaults withLoseAnswers(boolean value) {
        return new EngineFaults(refuse, freeze, slowFactor, value);
    }
}
