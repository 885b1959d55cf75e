package org.endivehold.upstream.protocol;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Body of every answer with a status from 400.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {
    /** What an engine refuses for. */
    public enum Code {
        /** The prompt and its answer do not fit into the free memory. */
        MEMORY,
        /** The version is not loaded. */
        VERSION,
        /** The engine starts or stops. */
        STARTING,
        /** The request is malformed. */
        MALFORMED,
        /** No stream or cache has that identifier. */
        NOT_FOUND,
        /** The order carries an old fencing number. */
        FENCED,
        /** The engine refuses work for another reason. */
        REFUSED;

        /**
         * Returns the word on the wire.
         *
         * @return the name in lower case with hyphens
         */
        @JsonValue
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }

        /**
         * Reads the word on the wire.
         *
         * @param word the word
         * @return the code; {@link #REFUSED} for an unknown word
         */
        @JsonCreator
        public static Code of(String word) {
            for (Code code : values()) {
                if (code.word().equals(word)) {
                    return code;
                }
            }
            return REFUSED;
        }
    }

    /**
     * One error.
     *
     * @param code what kind
     * @param message text for people
     * @param started false only if the engine is sure that nothing ran
     */
    public record Detail(Code code, String message, boolean started) {}

    /**
     * Makes a refusal of work that did not start.
     *
     * @param code what kind
     * @param message text for people
     * @return the body
     */
    public static ErrorBody notStarted(Code code, String message) {
        return new ErrorBody(new Detail(code, message, false));
    }
}
