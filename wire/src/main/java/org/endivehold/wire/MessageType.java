package org.endivehold.wire;

/**
 * All message types with their codes on the wire. The code of a removed type must not be reused; 10 and 20 to 29 are
 * such codes.
 */
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
    private final Class<? extends Message> messageClass;

    MessageType(int code, Class<? extends Message> messageClass) {
        this.code = code;
        this.messageClass = messageClass;
    }

    /**
     * Returns the code of the type in a {@link Frame}.
     *
     * @return a positive number
     */
    public int code() {
        return code;
    }

    /**
     * Returns the record class of messages of this type.
     *
     * @return the class
     */
    public Class<? extends Message> messageClass() {
        return messageClass;
    }
}
