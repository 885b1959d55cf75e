package org.endivehold.http;

import java.util.Map;
import java.util.Optional;

/** What makes the status and the fields of an answer valid, by RFC 9110 and RFC 9112. */
public final class HeadRules {
    /** Lowest status of a final answer; those below are interim answers, which another answer follows. */
    static final int FIRST_FINAL_STATUS = 200;

    private static final int FIRST_STATUS = 100;
    private static final int LAST_STATUS = 599;
    private static final int FIRST_PRINTABLE = ' ';
    private static final int DELETE = 0x7f;
    /** Characters of a token besides letters and digits. */
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    private HeadRules() {}

    /**
     * Checks the status and fields of a final answer that was not read from an HTTP connection of this process, such as
     * one that another daemon passes on, or that is about to be written to a caller.
     *
     * @param status HTTP status
     * @param fields names and values of the fields
     * @return why HTTP has no such answer; empty if it is valid
     */
    public static Optional<InvalidAnswerException> violation(int status, Iterable<Map.Entry<String, String>> fields) {
        try {
            checkFinal(status, fields);
            return Optional.empty();
        } catch (InvalidAnswerException e) {
            return Optional.of(e);
        }
    }

    private static void checkFinal(int status, Iterable<Map.Entry<String, String>> fields)
            throws InvalidAnswerException {
        if (status < FIRST_FINAL_STATUS || !isStatus(status)) {
            throw new InvalidAnswerException(HeadPart.STATUS, Integer.toString(status));
        }
        for (Map.Entry<String, String> field : fields) {
            checkName(field.getKey());
            checkValue(field.getValue());
        }
    }

    /** Returns whether HTTP gives a meaning to a status. */
    static boolean isStatus(int status) {
        return status >= FIRST_STATUS && status <= LAST_STATUS;
    }

    /** Checks that the name of a field is a token. */
    static void checkName(String name) throws InvalidAnswerException {
        boolean valid = !name.isEmpty();
        for (int i = 0; valid && i < name.length(); i++) {
            valid = isTokenChar(name.charAt(i));
        }
        if (!valid) {
            throw new InvalidAnswerException(HeadPart.FIELD_NAME, name);
        }
    }

    /** Checks that the value of a field has no control characters but tabs. */
    static void checkValue(String value) throws InvalidAnswerException {
        for (int i = 0; i < value.length(); i++) {
            if (isControl(value.charAt(i))) {
                throw new InvalidAnswerException(HeadPart.FIELD_VALUE, value);
            }
        }
    }

    private static boolean isControl(char c) {
        return (c < FIRST_PRINTABLE && c != '\t') || c == DELETE;
    }

    private static boolean isTokenChar(char c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || TOKEN_MARKS.indexOf(c) >= 0;
    }
}
