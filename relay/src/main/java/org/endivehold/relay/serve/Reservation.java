package org.endivehold.relay.serve;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.state.Upstream;
import org.jboss.logging.Logger;

/**
 * Memory reserved for one request at the engines that hold a part of its context.
 *
 * <p>The reservation expires after a short time and is renewed while the request runs, so that the memory becomes free
 * soon after a daemon dies or a release is lost. All parts are requested at once; if one is refused, the others are
 * released, so that two requests never wait for each other's memory.
 */
final class Reservation {
    /** Time after which a reservation expires unless it is renewed, in milliseconds. */
    static final int HOLD_MILLIS = 3_400;
    /** Interval between renewals, in milliseconds: two in a row may fail before the reservation expires. */
    private static final int RENEW_MILLIS = 1_100;
    /** Most attempts to release a part. */
    private static final int MAX_RELEASE_TRIES = 4;
    /** Pause between attempts to release a part, in milliseconds. */
    private static final int RELEASE_PAUSE_MILLIS = 400;

    private static final Logger log = Logger.getLogger(Reservation.class);

    /** Memory at one engine, in tokens. */
    record Part(Upstream engine, long tokens) {}

    private final Vertx vertx;
    private final EngineMemoryClient engineMemory;
    private final String id;
    private final List<Part> parts;
    private long timer = -1;
    private boolean ended;

    Reservation(Vertx vertx, EngineMemoryClient engineMemory, String id, List<Part> parts) {
        this.vertx = vertx;
        this.engineMemory = engineMemory;
        this.id = id;
        this.parts = List.copyOf(parts);
    }

    String id() {
        return id;
    }

    boolean holdsAt(String engine) {
        return parts.stream().anyMatch(part -> part.engine().id().equals(engine));
    }

    /** Reserves all parts; if one fails, releases all of them, and the returned future fails. */
    Future<Void> acquire() {
        List<Future<Void>> calls = new ArrayList<>();
        for (Part part : parts) {
            calls.add(engineMemory.reserve(part.engine(), id, part.tokens(), HOLD_MILLIS));
        }
        return Future.join(calls)
                .<Void>mapEmpty()
                .onSuccess(held -> {
                    if (!ended) {
                        timer = vertx.setPeriodic(RENEW_MILLIS, tick -> renew());
                    }
                })
                .onFailure(refused -> release());
    }

    /** Stops the renewals and releases the memory; further calls have no effect. */
    void release() {
        if (ended) {
            return;
        }
        ended = true;
        vertx.cancelTimer(timer);
        for (Part part : parts) {
            releasePart(part, MAX_RELEASE_TRIES);
        }
    }

    private void renew() {
        for (Part part : parts) {
            engineMemory.reserve(part.engine(), id, part.tokens(), HOLD_MILLIS).onFailure(failure -> LogEvent.of(
                            "reservation-not-renewed")
                    .with("reservation", id)
                    .with("engine", part.engine().id())
                    .with("reason", failure.getMessage())
                    .warn(log));
        }
    }

    private void releasePart(Part part, int triesLeft) {
        engineMemory.release(part.engine(), id).onFailure(failure -> {
            LogEvent.of("reservation-not-released")
                    .with("reservation", id)
                    .with("engine", part.engine().id())
                    .with("tries_left", triesLeft - 1)
                    .with("reason", failure.getMessage())
                    .warn(log);
            if (triesLeft > 1) {
                vertx.setTimer(RELEASE_PAUSE_MILLIS, again -> releasePart(part, triesLeft - 1));
            }
        });
    }
}
