package org.endivehold.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.daemon.request.TraceLog;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.error.ErrorManager;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.Ticker;

/**
 * What every service of a daemon is built with. All services of one daemon run on the one event loop of its Vert.x
 * instance, so none of them needs a lock.
 *
 * @param vertx the daemon's own Vert.x instance, with one event loop
 * @param settings its settings
 * @param ticker monotonic time
 * @param errors takes failures that no caller waits for
 * @param random seeded random numbers
 * @param meters metrics
 * @param trace decisions made for recent requests
 * @param incarnation number of this process
 */
public record DaemonContext(
        Vertx vertx,
        Settings settings,
        Ticker ticker,
        ErrorManager errors,
        UniformRandomProvider random,
        MeterRegistry meters,
        TraceLog trace,
        Incarnation incarnation) {}
