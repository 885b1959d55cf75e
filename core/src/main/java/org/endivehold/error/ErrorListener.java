package org.endivehold.error;

/** Is told of every failure reported to an {@link ErrorManager}. */
@FunctionalInterface
public interface ErrorListener {
    /**
     * Takes note of a failure.
     *
     * @param source the component that failed, a short word such as {@code peer}
     * @param failure the failure
     */
    void failed(String source, EndiveholdException failure);
}
