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
 * Objects shared by all services of a daemon. All services of a daemon run on the single event loop of its Vert.x
 * instance, so none of them needs locks.
 *
 * @param vertx the daemon's own Vert.x instance, with one event loop
 * @param settings the settings of the daemon
 * @param ticker monotonic clock
 * @param errors handles failures that no caller is waiting for
 * @param random random number generator, seeded from the settings
 * @param meters registry of the daemon's metrics
 * @param trace log of the decisions made for recent requests
 * @param incarnation number of this process, which distinguishes it from earlier processes on the same host
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
