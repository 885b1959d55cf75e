package org.endivehold.relay.serve;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.state.Upstream;
import org.jboss.logging.Logger;

/**
 * Memory of one request at engines that hold a part of its context.
 *
 * <p>It is held for a short time and renewed while the request runs, so that it comes free by itself soon after a
 * daemon dies or an order is lost. All parts are reserved without waiting; if one of them is refused the others are
 * given back, so that no two requests wait for each other.
 */
final class Reservation {
    /** How long the memory is held without a renewal, in milliseconds. */
    static final int HOLD_MILLIS = 3_400;
    /** Pause between renewals, in milliseconds: two of them may fail. */
    private static final int RENEW_MILLIS = 1_100;
    /** How often a release is tried. */
    private static final int RELEASE_TRIES = 4;
    /** Pause between tries to release, in milliseconds. */
    private static final int RELEASE_PAUSE_MILLIS = 400;

    private static final Logger log = Logger.getLogger(Reservation.class);

    /** A part of the memory at one engine. */
    record Part(Upstream engine, long tokens) {}

    private final Vertx vertx;
    private final EngineOrders orders;
    private final String id;
    private final List<Part> parts;
    private long timer = -1;
    private boolean ended;

    Reservation(Vertx vertx, EngineOrders orders, String id, List<Part> parts) {
        this.vertx = vertx;
        this.orders = orders;
        this.id = id;
        this.parts = List.copyOf(parts);
    }

    String id() {
        return id;
    }

    boolean holdsAt(String engine) {
        return parts.stream().anyMatch(part -> part.engine().id().equals(engine));
    }

    /** Reserves all parts; if one is refused, gives back the others and fails. */
    Future<Void> acquire() {
        List<Future<Void>> calls = new ArrayList<>();
        for (Part part : parts) {
            calls.add(orders.reserve(part.engine(), id, part.tokens(), HOLD_MILLIS));
        }
        return Future.join(calls)
                .<Void>mapEmpty()
                .onSuccess(held -> {
                    if (!ended) {
                        timer = vertx.setPeriodic(RENEW_MILLIS, tick -> renew());
                    }
                })
                .onFailure(refused -> end());
    }

    /** Gives the memory back. */
    void end() {
        if (ended) {
            return;
        }
        ended = true;
        vertx.cancelTimer(timer);
        for (Part part : parts) {
            release(part, RELEASE_TRIES);
        }
    }

    private void renew() {
        for (Part part : parts) {
            orders.reserve(part.engine(), id, part.tokens(), HOLD_MILLIS)
                    .onFailure(failure -> LogEvent.of("reservation-not-renewed")
                            .with("reservation", id)
                            .with("engine", part.engine().id())
                            .with("reason", failure.getMessage())
                            .warn(log));
        }
    }

    private void release(Part part, int tries) {
        orders.release(part.engine(), id).onFailure(failure -> {
            LogEvent.of("reservation-not-released")
                    .with("reservation", id)
                    .with("engine", part.engine().id())
                    .with("tries_left", tries - 1)
                    .with("reason", failure.getMessage())
                    .warn(log);
            if (tries > 1) {
                vertx.setTimer(RELEASE_PAUSE_MILLIS, again -> release(part, tries - 1));
            }
        });
    }
}
