package org.endivehold.cli;

import org.endivehold.error.ErrorType;

/** Exit codes of the operators' tool. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "done"),
    /** The configuration has faults, or what was asked for does not exist. */
    FAULTS(1, "the configuration has faults, or what was asked for does not exist"),
    /** The command line is wrong. */
    USAGE(2, "the command line is wrong"),
    /** No daemon or no key-value service answers; nothing was changed. */
    UNAVAILABLE(3, "no daemon or no key-value service answers; nothing was changed"),
    /** Another publish came first; nothing was changed. */
    CONFLICT(4, "another publish came first; nothing was changed"),
    /** Published, but some daemons do not report the revision yet. */
    LAGGING(5, "published, but some daemons do not report the revision yet"),
    /** The publish may have taken effect; repeating it with the same publish id is safe. */
    UNKNOWN(6, "the publish may have taken effect; repeat it with the same publish id"),
    /** The operators' token was not accepted. */
    UNAUTHENTICATED(7, "the operators' token was not accepted"),
    /** Any failure that has no exit code of its own. */
    FAILED(8, "any other failure");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the status, 0 to 8
     */
    public int code() {
        return code;
    }

    /**
     * Returns the meaning of the code for operators.
     *
     * @return one line, without a full stop
     */
    public String meaning() {
        return meaning;
    }

    /**
     * Returns the exit code for an error.
     *
     * @param type type of the error
     * @return the code; {@link #FAILED} if the type has none of its own
     */
    public static ExitCode of(ErrorType type) {
        return switch (type) {
            case CONFIG_INVALID, REVISION_UNKNOWN, OBJECT_UNKNOWN -> FAULTS;
            case OPERATOR_REQUEST -> USAGE;
            case DAEMON_UNREACHABLE, STORE_UNAVAILABLE, STORE_REFUSED, NO_CONFIGURATION -> UNAVAILABLE;
            case CONFIG_CONFLICT, PUBLISH_ID_REUSED -> CONFLICT;
            case CONFIG_UNKNOWN_OUTCOME, STORE_UNKNOWN -> UNKNOWN;
            case OPERATOR_UNAUTHENTICATED -> UNAUTHENTICATED;
            default -> FAILED;
        };
    }
}
