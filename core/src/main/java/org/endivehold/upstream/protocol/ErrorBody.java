package org.endivehold.upstream.protocol;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Response body of every answer with an HTTP status of 400 or above.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {
    /** Error codes of an engine. */
    public enum Code {
        /** The prompt and its answer do not fit into the free memory. */
        MEMORY,
        /** The version is not loaded. */
        VERSION,
        /** The engine is starting up or shutting down. */
        STARTING,
        /** The request is malformed. */
        MALFORMED,
        /** There is no stream or cache with that identifier. */
        NOT_FOUND,
        /** The order has an outdated fencing token. */
        FENCED,
        /** The engine refuses the request for another reason. */
        REFUSED;

        /**
         * Returns the code as it is written in JSON.
         *
         * @return the name in lower case with hyphens
         */
        @JsonValue
        public String label() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }

        /**
         * Parses a code from JSON.
         *
         * @param label the code as written in JSON
         * @return the code; {@link #REFUSED} if it is unknown
         */
        @JsonCreator
        public static Code of(String label) {
            for (Code code : values()) {
                if (code.label().equals(label)) {
                    return code;
                }
            }
            return REFUSED;
        }
    }

    /**
     * Description of one error.
     *
     * @param code the error code
     * @param message human-readable explanation
     * @param started false only if the engine guarantees that it did not start the request
     */
    public record Detail(Code code, String message, boolean started) {}

    /**
     * Creates the body for a request that was refused before it started.
     *
     * @param code the error code
     * @param message human-readable explanation
     * @return the body
     */
    public static ErrorBody notStarted(Code code, String message) {
        return new ErrorBody(new Detail(code, message, false));
    }
}
