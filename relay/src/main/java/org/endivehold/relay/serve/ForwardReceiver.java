package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.limit.HeldBytes;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.PeerStream;

/** Takes requests that other daemons cannot deliver, and serves them like those of this daemon's own callers. */
final class ForwardReceiver {
    /** Interval at which the other daemon hears that this one is alive, in milliseconds. */
    static final long PING_MILLIS = 500;
    /** Time within which an accepted request has to arrive, in milliseconds; the other daemon may have ended. */
    private static final long ARRIVAL_MILLIS = 2_000;
    /** Requests of other daemons that are served at the same time. */
    private static final int MAX_REQUESTS = 512;

    private static final int NOT_RUN_STATUS = 503;

    private final RelayContext context;
    private final RequestDispatcher dispatcher;
    private final ActiveRequests active;
    private final BooleanSupplier stopping;
    private int requests;

    ForwardReceiver(
            RelayContext context, RequestDispatcher dispatcher, ActiveRequests active, BooleanSupplier stopping) {
        this.context = context;
        this.dispatcher = dispatcher;
        this.active = active;
        this.stopping = stopping;
    }

    /** Accepts or declines the request that a daemon offers, as soon as doubts about the own paths are settled. */
    void offered(PeerMessage.ForwardOffer offer, PeerStream stream) {
        context.paths().whenSettled(() -> decide(offer, stream));
    }

    private void decide(PeerMessage.ForwardOffer offer, PeerStream stream) {
        Optional<String> reason = reasonToDecline(offer);
        if (reason.isPresent()) {
            stream.end(new PeerMessage.ForwardDeclined(reason.get()));
            return;
        }
        new Reception(offer.daemon(), stream).start();
    }

    private Optional<String> reasonToDecline(PeerMessage.ForwardOffer offer) {
        if (stopping.getAsBoolean()) {
            return Optional.of("stopping");
        }
        if (!context.fleet().complete() || context.tableVersion() < offer.version()) {
            return Optional.of("configuration");
        }
        if (!context.paths().reaches(offer.service())) {
            return Optional.of("cut-off");
        }
        return requests >= MAX_REQUESTS ? Optional.of("full") : Optional.empty();
    }

    /** One accepted request, from its offer to the end of the connection. */
    private final class Reception {
        private final String from;
        private final PeerStream stream;
        private final ForwardResponseChannel channel;
        private PeerMessage.ForwardedRequest head;
        private final HeldBytes.Share held = context.bodies().requests().open(this::evicted);
        private Buffer body = Buffer.buffer();
        private long pings = -1;
        private long arrivalTimer = -1;
        private boolean dispatched;
        private boolean finished;

        Reception(String from, PeerStream stream) {
            this.from = from;
            this.stream = stream;
            this.channel = new ForwardResponseChannel(stream);
        }

        void start() {
            requests++;
            active.begin();
            pings = context.vertx().setPeriodic(PING_MILLIS, timer -> stream.send(new PeerMessage.Ping()));
            arrivalTimer = context.vertx().setTimer(ARRIVAL_MILLIS, timer -> stream.close());
            stream.handle(this::received, this::closed);
            stream.send(new PeerMessage.ForwardAccepted());
        }

        /** The connection has ended; until then the response may still be on its way. */
        private void closed() {
            if (!dispatched) {
                finish();
            }
            channel.closed();
            active.end();
        }

        /** Ends the reception: the request has ended, or did not arrive. */
        private void finish() {
            if (!finished) {
                finished = true;
                requests--;
                held.close();
                context.vertx().cancelTimer(pings);
                context.vertx().cancelTimer(arrivalTimer);
            }
        }

        private void received(PeerMessage message) {
            if (message instanceof PeerMessage.ForwardedRequest request && head == null) {
                head = request;
            } else if (message instanceof PeerMessage.ForwardedBytes part && head != null) {
                body.appendBuffer(part.bytes());
                if (!held.set(body.length())) {
                    return;
                }
            } else {
                stream.close();
                return;
            }
            if (body.length() > head.bodyBytes()) {
                stream.close();
            } else if (body.length() == head.bodyBytes() && !dispatched) {
                dispatched = true;
                held.pin();
                dispatch();
            }
        }

        /** Refuses the request, of which nothing has been sent on: its body does not fit beside those of others. */
        private void evicted() {
            body = Buffer.buffer();
            finish();
            channel.fail(NOT_RUN_STATUS, ErrorType.BUFFERS_FULL, RequestDispatcher.NO_SERVICE_RETRY_AFTER_MILLIS);
        }

        private void dispatch() {
            MultiMap headers = ForwardedHeaders.fromMessage(head.headers());
            CallerRequestHead parsed = context.headerCodec().parseRequest(headers);
            CallerRequestHead requestHead = new CallerRequestHead(
                    parsed.attemptId(),
                    OptionalLong.of(head.remainingMillis()),
                    parsed.apiKey(),
                    parsed.promptTokens(),
                    parsed.outputTokens(),
                    parsed.sharedParts(),
                    head.resumeAfter());
            context.vertx().cancelTimer(arrivalTimer);
            Exchange exchange = new Exchange(context, channel, requestHead, this::finish);
            exchange.addStep("from:" + from);
            IncomingRequest request = new IncomingRequest(
                    head.path(),
                    new UpstreamClient.OutgoingRequest(HttpMethod.valueOf(head.method()), head.uri(), headers, body));
            RequestProgress progress =
                    new RequestProgress(head.sends(), head.possibleRuns(), head.resumeAfter(), head.counted());
            exchange.runGuarded(
                    () -> dispatcher.dispatchForwarded(exchange, request, head.customer(), head.service(), progress));
        }
    }
}
