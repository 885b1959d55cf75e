package org.endivehold.wire;

/** Every kind of message with its number on the wire; numbers are never used again. */
public enum MessageType {
    /** {@link Hello}. */
    HELLO(1, Hello.class),
    /** {@link Failure}. */
    FAILURE(2, Failure.class),
    /** {@link HeartbeatMessage}. */
    HEARTBEAT(10, HeartbeatMessage.class);

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
