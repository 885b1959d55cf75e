package org.endivehold.relay.schedule;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** Why a request waited for engines, or why it was refused. */
public enum WaitReason {
    /** Other requests were tried before it, by their rank or the share of their customers. */
    ORDER,
    /** No engines had memory and a slot for it. */
    NO_ENGINE,
    /** Engines had room for it, but it would have made too many others late there. */
    HARM,
    /** Refused: it waited longer than its target. */
    LATE,
    /** Refused: it could not be served in the time that it had left. */
    NO_TIME,
    /** Refused: too many requests were waiting, and it was the last in order. */
    QUEUE_FULL,
    /** Refused: it needs more memory than all engines have. */
    TOO_LARGE,
    /** Refused: it was asked whether engines suit it at once, and none did. */
    NOT_AT_ONCE;

    /** Returns its label in logs, metrics and messages. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the reason with a label; empty if it is unknown, such as one of a later version. */
    public static Optional<WaitReason> ofLabel(String label) {
        return Stream.of(values())
                .filter(reason -> reason.label().equals(label))
                .findFirst();
    }
}
