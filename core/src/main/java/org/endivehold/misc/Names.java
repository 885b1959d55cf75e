package org.endivehold.misc;

import java.util.regex.Pattern;

/** The one rule for the form of every configured name. */
public final class Names {
    /** Longest name, in characters. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]*");

    private Names() {}

    /**
     * Tells whether a text is a well-formed name.
     *
     * @param text the text, may be null
     * @return true if it is one to {@link #MAX_LENGTH} letters, digits, dots, colons, underscores and hyphens
     */
    public static boolean isValid(String text) {
        return text != null && text.length() <= MAX_LENGTH && FORM.matcher(text).matches();
    }

    /**
     * Rejects a malformed name.
     *
     * @param text the text
     * @throws IllegalArgumentException if the text is not a name
     */
    public static void require(String text) {
        if (!isValid(text)) {
            throw new IllegalArgumentException("malformed name: " + text);
        }
    }
}
