package org.endivehold.http;

import java.util.Locale;

/** The part of an answer that makes it invalid. */
public enum HeadPart {
    /** The first line is no status line of HTTP/1. */
    STATUS_LINE,
    /** The status does not exist, or is one that cannot be given here. */
    STATUS,
    /** The name of a field is no token that a colon follows. */
    FIELD_NAME,
    /** The value of a field has a control byte. */
    FIELD_VALUE,
    /** The fields do not tell where the body ends, or contradict each other. */
    BODY_LENGTH,
    /** The head is too long. */
    SIZE,
    /** The answer follows another one, without a request. */
    UNREQUESTED;

    /**
     * Returns the name of this part in logs and metrics.
     *
     * @return the constant's name in lower case with hyphens, such as {@code field-name}
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
