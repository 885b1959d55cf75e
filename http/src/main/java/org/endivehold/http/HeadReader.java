package org.endivehold.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the head of one answer byte by byte and checks it as it arrives.
 *
 * <p>The check is stricter than what HTTP lets a recipient accept: the HTTP library behind it also takes lines that end
 * with a line feed alone, skips bytes before the status line, and cuts blanks off a field's name. What it takes for the
 * head is then another one than the upstream sent. For example, in {@code "X-A: 1\r\n\nContent-Length: 5\r\n"} it finds
 * the end of the head before the length, and the length becomes the first bytes of the body.
 */
final class HeadReader {
    /** Largest head, in bytes; the same as for requests of callers. */
    static final int MAX_HEAD_BYTES = 16_384;

    private static final int INITIAL_BYTES = 512;
    /** Minor version, status, and a reason without control characters but tabs. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.([0-9]) ([0-9]{3}) [\\t\\x20-\\x7e\\x80-\\xff]*");
    /** A body length that a {@code long} holds in any case. */
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private static final int NO_CONTENT = 204;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final long NO_LENGTH = -1;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;
    private int lineStart;
    private int status;
    private int minorVersion;
    private long contentLength = NO_LENGTH;
    private boolean chunked;

    /**
     * Takes the next byte.
     *
     * @return whether the head ends with it
     * @throws InvalidAnswerException if the bytes so far do not begin a valid head
     */
    boolean add(byte next) throws InvalidAnswerException {
        if (length == MAX_HEAD_BYTES) {
            throw new InvalidAnswerException(HeadPart.SIZE, text(lineStart, length));
        }
        if (length == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * length);
        }
        bytes[length] = next;
        length++;
        return next == '\n' && endLine();
    }

    /** Returns the head as it was received. */
    byte[] toBytes() {
        return Arrays.copyOf(bytes, length);
    }

    /** Returns whether a final answer has still to follow this one; only if the head is complete. */
    boolean isInterim() {
        return status < HeadRules.FIRST_FINAL_STATUS;
    }

    private boolean endLine() throws InvalidAnswerException {
        boolean terminated = length - lineStart >= 2 && bytes[length - 2] == '\r';
        // A line feed without a carriage return stays in the line, where it is a control byte like others.
        String line = text(lineStart, terminated ? length - 2 : length);
        boolean first = lineStart == 0;
        lineStart = length;
        if (first) {
            readStatusLine(line);
        } else if (line.isEmpty()) {
            checkBodyLength();
            return true;
        } else {
            readField(line);
        }
        return false;
    }

    private String text(int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private void readStatusLine(String line) throws InvalidAnswerException {
        Matcher parts = STATUS_LINE.matcher(line);
        if (!parts.matches()) {
            throw new InvalidAnswerException(HeadPart.STATUS_LINE, line);
        }
        minorVersion = Integer.parseInt(parts.group(1));
        status = Integer.parseInt(parts.group(2));
        // No request asks for another protocol.
        if (!HeadRules.isStatus(status) || status == SWITCHING_PROTOCOLS) {
            throw new InvalidAnswerException(HeadPart.STATUS, line);
        }
    }

    private void readField(String line) throws InvalidAnswerException {
        int colon = line.indexOf(':');
        if (colon < 0) {
            throw new InvalidAnswerException(HeadPart.FIELD_NAME, line);
        }
        String name = line.substring(0, colon);
        String value = line.substring(colon + 1);
        HeadRules.checkName(name);
        HeadRules.checkValue(value);
        if (name.equalsIgnoreCase("content-length")) {
            readContentLength(value.trim());
        } else if (name.equalsIgnoreCase("transfer-encoding")) {
            readTransferEncoding(value.trim());
        }
    }

    private void readContentLength(String value) throws InvalidAnswerException {
        if (contentLength != NO_LENGTH || !LENGTH.matcher(value).matches()) {
            throw new InvalidAnswerException(HeadPart.BODY_LENGTH, value);
        }
        contentLength = Long.parseLong(value);
    }

    /** Reads the coding of the body: no request allows another one than chunks. */
    private void readTransferEncoding(String value) throws InvalidAnswerException {
        if (chunked || !value.equalsIgnoreCase("chunked")) {
            throw new InvalidAnswerException(HeadPart.BODY_LENGTH, value);
        }
        chunked = true;
    }

    private void checkBodyLength() throws InvalidAnswerException {
        boolean ambiguous = chunked && (contentLength != NO_LENGTH || minorVersion == 0);
        boolean bodyless = isInterim() || status == NO_CONTENT;
        if (ambiguous || (bodyless && (chunked || contentLength > 0))) {
            throw new InvalidAnswerException(
                    HeadPart.BODY_LENGTH,
                    "status " + status + ", content-length " + contentLength + ", chunked " + chunked);
        }
    }
}
