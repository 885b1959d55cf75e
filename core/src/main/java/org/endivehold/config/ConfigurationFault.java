package org.endivehold.config;

/**
 * One validation error that prevents a configuration from being published.
 *
 * @param object the object, such as {@code Route/drafts}, or a position such as {@code routes.json[3]} where an object
 *     has no valid kind or name
 * @param field the field, or {@link #WHOLE_OBJECT} if the fault concerns the object as a whole
 * @param reason category of the fault
 * @param detail the offending value and what is expected
 */
public record ConfigurationFault(String object, String field, Reason reason, String detail) {
    /** Value of {@code field} if the fault concerns the object as a whole. */
    public static final String WHOLE_OBJECT = "-";

    /** Categories of faults. */
    public enum Reason {
        /** The file or document cannot be read. */
        UNREADABLE,
        /** The document is not JSON, or not an object or array of objects. */
        NOT_JSON,
        /** The {@code kind} is missing or unknown. */
        UNKNOWN_KIND,
        /** The object has a field that its kind does not have. */
        UNKNOWN_FIELD,
        /** A required field is missing. */
        MISSING,
        /** A field has the wrong JSON type or form. */
        MALFORMED,
        /** A number is outside its range. */
        OUT_OF_RANGE,
        /** A field refers to an object that does not exist. */
        DANGLING,
        /** Two objects have the same name, or the same value of a field that has to be unique. */
        DUPLICATE,
        /** A field contradicts another field or a referenced object. */
        CONTRADICTION,
        /** A route has no upstream that could serve it. */
        UNSERVED;

        /**
         * Returns the name used in messages.
         *
         * @return the name in lower case with hyphens
         */
        public String label() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    @Override
    public String toString() {
        return object + " " + field + ": " + reason.label() + ": " + detail;
    }
}
