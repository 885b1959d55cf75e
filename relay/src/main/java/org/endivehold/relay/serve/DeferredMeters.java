package org.endivehold.relay.serve;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A registry of meters that is created when it is first read or when much has been recorded, since its initialization
 * takes a good part of a start. What is recorded until then is kept and added on creation. Not thread-safe.
 *
 * @param <R> type of the registry
 */
public final class DeferredMeters<R extends MeterRegistry> {
    /** Most recordings that are kept; a busy daemon reaches them within seconds, an idle one keeps a few kilobytes. */
    private static final int MAX_WAITING = 1_000;

    private final Supplier<R> factory;
    private final List<Consumer<MeterRegistry>> waiting = new ArrayList<>();
    private R registry;

    /** Creates it; {@code factory} creates the registry, once. */
    public DeferredMeters(Supplier<R> factory) {
        this.factory = factory;
    }

    /** Returns the registry, with all that has been recorded; creates it if necessary. */
    public R registry() {
        if (registry == null) {
            registry = factory.get();
            waiting.forEach(recording -> recording.accept(registry));
            waiting.clear();
        }
        return registry;
    }

    /** Makes a recording now, or when the registry is created. */
    public void record(Consumer<MeterRegistry> recording) {
        if (registry == null && waiting.size() < MAX_WAITING) {
            waiting.add(recording);
        } else {
            recording.accept(registry());
        }
    }
}
