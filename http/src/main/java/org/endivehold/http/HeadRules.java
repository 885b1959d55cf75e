package org.endivehold.http;

/** What makes the status of an answer valid, by RFC 9110 and RFC 9112. */
final class HeadRules {
    /** Lowest status of a final answer; those below are interim answers, which another answer follows. */
    static final int FIRST_FINAL_STATUS = 200;

    private static final int FIRST_STATUS = 100;
    private static final int LAST_STATUS = 599;
    private static final int FIRST_PRINTABLE = ' ';
    private static final int DELETE = 0x7f;

    private HeadRules() {}

    /** Checks that HTTP gives a meaning to a status. */
    static void checkStatus(int status) throws InvalidAnswerException {
        if (status < FIRST_STATUS || status > LAST_STATUS) {
            throw new InvalidAnswerException(HeadPart.STATUS, Integer.toString(status));
        }
    }

    /** Returns whether a text has control characters other than tabs. */
    static boolean hasControl(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if ((c < FIRST_PRINTABLE && c != '\t') || c == DELETE) {
                return true;
            }
        }
        return false;
    }
}
