package org.endivehold.config;

import java.util.Comparator;

/**
 * Identifies one configuration object.
 *
 * @param kind its kind
 * @param name its name, unique within the kind
 */
public record ObjectKey(ObjectKind kind, String name) implements Comparable<ObjectKey> {
    private static final Comparator<ObjectKey> ORDER =
            Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name);

    @Override
    public int compareTo(ObjectKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.label() + "/" + name;
    }
}
