package org.endivehold.config;

/**
 * One reason why a configuration cannot be published.
 *
 * @param object the object, such as {@code Route/drafts}, or the place in a file where an object has no kind or name
 * @param field the field, or {@code -} if the object as a whole is at fault
 * @param reason what is wrong
 * @param detail the offending value and what is expected
 */
public record ConfigurationFault(String object, String field, Reason reason, String detail) {
    /** Stands for a field where an object as a whole is at fault. */
    public static final String WHOLE_OBJECT = "-";

    /** What can be wrong with an object. */
    public enum Reason {
        /** The file or document cannot be read. */
        UNREADABLE,
        /** The document is not JSON, or not an object or array of objects. */
        NOT_JSON,
        /** The {@code kind} is missing or unknown. */
        UNKNOWN_KIND,
        /** The object has a field that its kind does not know. */
        UNKNOWN_FIELD,
        /** A required field is missing. */
        MISSING,
        /** A field has the wrong JSON type or form. */
        MALFORMED,
        /** A number lies outside its range. */
        OUT_OF_RANGE,
        /** A field names an object that does not exist. */
        DANGLING,
        /** Two objects have the same name, or the same value where it has to be unique. */
        DUPLICATE,
        /** Two fields contradict each other. */
        CONTRADICTION,
        /** Nothing could serve the object. */
        UNSERVED;

        /**
         * Returns the word for messages.
         *
         * @return the name in lower case with hyphens
         */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    @Override
    public String toString() {
        return object + " " + field + ": " + reason.word() + ": " + detail;
    }
}
