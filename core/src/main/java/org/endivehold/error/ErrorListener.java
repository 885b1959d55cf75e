package org.endivehold.error;

/** Receives every failure that is reported to an {@link ErrorManager}. */
@FunctionalInterface
public interface ErrorListener {
    /**
     * Called once for each reported failure, on the thread that reports it.
     *
     * @param source the component that failed, a short name such as {@code peer}
     * @param failure the failure
     */
    void failed(String source, EndiveholdException failure);
}
