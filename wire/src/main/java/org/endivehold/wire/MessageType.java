package org.endivehold.wire;

/** Every kind of message with its number on the wire; numbers are never used again, nor are 10 and 20 to 29. */
public enum MessageType {
    /** {@link Hello}. */
    HELLO(1, Hello.class),
    /** {@link Failure}. */
    FAILURE(2, Failure.class),
    /** {@link ConfigFetch}. */
    CONFIG_FETCH(40, ConfigFetch.class),
    /** {@link ConfigDelta}. */
    CONFIG_DELTA(41, ConfigDelta.class),
    /** {@link StatusQuery}. */
    STATUS_QUERY(42, StatusQuery.class),
    /** {@link StatusAnswer}. */
    STATUS_ANSWER(43, StatusAnswer.class),
    /** {@link TraceQuery}. */
    TRACE_QUERY(44, TraceQuery.class),
    /** {@link TraceAnswer}. */
    TRACE_ANSWER(45, TraceAnswer.class);

    private final int code;
    private final Class<? extends Message> kind;

    MessageType(int code, Class<? extends Message> kind) {
        this.code = code;
        this.kind = kind;
    }

    /**
     * Returns the number on the wire.
     *
     * @return a positive number
     */
    public int code() {
        return code;
    }

    /**
     * Returns the record that carries the message.
     *
     * @return the class
     */
    public Class<? extends Message> kind() {
        return kind;
    }
}
