package org.endivehold.config;

import java.util.Optional;

/** The kinds of configuration objects, in the order of the canonical form. */
public enum ObjectKind {
    /** {@link Model}. */
    MODEL("Model"),
    /** {@link Version}. */
    VERSION("Version"),
    /** {@link Adapter}. */
    ADAPTER("Adapter"),
    /** {@link Route}. */
    ROUTE("Route"),
    /** {@link Customer}. */
    CUSTOMER("Customer"),
    /** {@link AvailabilityZone}. */
    AVAILABILITY_ZONE("AvailabilityZone"),
    /** {@link Upstream}. */
    UPSTREAM("Upstream");

    private final String jsonName;

    ObjectKind(String jsonName) {
        this.jsonName = jsonName;
    }

    /**
     * Returns the value of the {@code kind} field of such an object in JSON.
     *
     * @return the name, for example {@code AvailabilityZone}
     */
    public String label() {
        return jsonName;
    }

    /**
     * Finds a kind by the value of the {@code kind} field.
     *
     * @param jsonName the value, may be null
     * @return the kind, or empty if there is no such kind
     */
    public static Optional<ObjectKind> of(String jsonName) {
        for (ObjectKind kind : values()) {
            if (kind.jsonName.equals(jsonName)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    @Override
    public String toString() {
        return jsonName;
    }
}
