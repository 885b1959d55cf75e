package org.endivehold.http;

import java.util.Optional;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.LogEvent;

/** The head of an answer is invalid, so that nothing of it can be relied on; the request may have run. */
public final class InvalidAnswerException extends EndiveholdException {
    private static final long serialVersionUID = 1L;
    /** Most characters of the invalid part that are kept, before they are escaped. */
    private static final int MAX_EXCERPT_CHARS = 60;

    private final HeadPart part;
    private final String excerpt;

    /**
     * Creates the failure.
     *
     * @param part the part that is invalid
     * @param text what was received as this part, one character for each byte
     */
    public InvalidAnswerException(HeadPart part, String text) {
        super(RunOutcome.UNKNOWN, ErrorType.INVALID_ANSWER, part.label(), escaped(text));
        this.part = part;
        this.excerpt = escaped(text);
    }

    /**
     * Finds this failure in a chain of causes.
     *
     * @param failure any failure of a call
     * @return the invalid answer that caused it, if one did
     */
    public static Optional<InvalidAnswerException> find(Throwable failure) {
        for (Throwable t = failure; t != null; t = t.getCause()) {
            if (t instanceof InvalidAnswerException found) {
                return Optional.of(found);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns which part of the head is invalid.
     *
     * @return the part
     */
    public HeadPart part() {
        return part;
    }

    /**
     * Returns the first bytes of the invalid part. All but printable ASCII characters, and the percent sign, are
     * written as a percent sign and two hexadecimal digits.
     *
     * @return printable text
     */
    public String excerpt() {
        return excerpt;
    }

    /**
     * Returns the log event that reports this failure.
     *
     * @param request id of the request that was answered, or what else tells which call it was; null if nothing does
     * @param upstream what sent the answer
     * @return an event without a level yet
     */
    public LogEvent event(Object request, Object upstream) {
        return LogEvent.of("invalid-answer")
                .with("request", request)
                .with("upstream", upstream)
                .with("part", part.label())
                .with("bytes", excerpt);
    }

    private static String escaped(String text) {
        StringBuilder escaped = new StringBuilder();
        for (int i = 0; i < Math.min(text.length(), MAX_EXCERPT_CHARS); i++) {
            char c = text.charAt(i);
            if (c >= ' ' && c <= '~' && c != '%') {
                escaped.append(c);
            } else {
                escaped.append('%').append(hexDigit(c >> 4)).append(hexDigit(c));
            }
        }
        return escaped.toString();
    }

    private static char hexDigit(int value) {
        return Character.forDigit(value & 0xf, 16);
    }
}
