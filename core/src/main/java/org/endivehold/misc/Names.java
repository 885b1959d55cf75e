package org.endivehold.misc;

import java.util.regex.Pattern;

/** Defines which names and identifiers are well-formed. */
public final class Names {
    /** Longest name, in characters. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]*");

    private Names() {}

    /**
     * Returns whether a text is a well-formed name.
     *
     * @param text the text, may be null
     * @return true if it has one to {@link #MAX_LENGTH} ASCII letters, digits, dots, colons, underscores or hyphens,
     *     and begins with a letter or digit
     */
    public static boolean isValid(String text) {
        return text != null && text.length() <= MAX_LENGTH && FORM.matcher(text).matches();
    }

    /**
     * Checks that a text is a well-formed name.
     *
     * @param text the text
     * @throws IllegalArgumentException if it is not
     */
    public static void require(String text) {
        if (!isValid(text)) {
            throw new IllegalArgumentException("malformed name: " + text);
        }
    }
}
