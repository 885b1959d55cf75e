package org.endivehold.relay.connection;

/** Finds the end of a request head in the bytes of a connection, and counts its field bytes and fields. */
final class HeadScanner {
    private static final int LINE_FEED = '\n';
    private static final int CARRIAGE_RETURN = '\r';

    private boolean begun;
    private boolean lineEmpty = true;
    private int lines;
    private int lineBytes;
    private int fieldBytes;

    /**
     * Takes the next byte.
     *
     * @return whether the head ends with it
     */
    boolean add(int value) {
        if (!begun && (value == LINE_FEED || value == CARRIAGE_RETURN)) {
            return false; // Empty lines before a request are skipped by the decoder as well.
        }
        begun = true;
        if (lines == 0) {
            lineBytes++;
        } else {
            fieldBytes++;
        }
        if (value != LINE_FEED) {
            lineEmpty &= value == CARRIAGE_RETURN;
            return false;
        }
        boolean end = lines > 0 && lineEmpty;
        lines++;
        lineEmpty = true;
        return end;
    }

    /** Returns the number of bytes of the request line so far. */
    int lineBytes() {
        return lineBytes;
    }

    /** Returns the number of bytes after the request line so far. */
    int fieldBytes() {
        return fieldBytes;
    }

    /** Returns the number of lines that are complete so far. */
    int lines() {
        return lines;
    }

    /** Prepares for the next head. */
    void reset() {
        begun = false;
        lineEmpty = true;
        lines = 0;
        lineBytes = 0;
        fieldBytes = 0;
    }
}
