package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.limit.HeldBytes;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.state.Upstream;
import org.jboss.logging.Logger;

/**
 * One attempt of a generation request at the engines chosen for it: reserves their memory, sends the request, passes on
 * complete events, and keeps the request registered in {@link RelayContext#engineWork()} until the attempt ends.
 */
final class StreamAttempt implements UpstreamAttempt.Listener, EventFlow.Listener, EventFlow.Source {
    /** Is notified of the attempt's progress. All notifications but {@link #event} end the attempt. */
    interface Listener {
        /** Memory at another engine could not be reserved; the request was not sent. */
        void notReserved();

        /** The engine that generates the output could not be reached; the request was not sent. */
        void unreached();

        /** A complete event has arrived. */
        void event(OptionalLong id, Buffer bytes);

        /** The engine sent a complete response that is a refusal or an error instead of a stream. */
        void errorResponse(AnswerFacts head, MultiMap headers, Buffer body);

        /**
         * The stream has ended and is whole.
         *
         * @param rest bytes after the last event, which are no event
         */
        void complete(Buffer rest);

        /** The stream broke off, is not whole, or its response cannot be trusted (wrong attempt id, no seal). */
        void broken(String cause);
    }

    /** Largest body of an error response, in bytes; what is larger is no answer of an engine. */
    private static final int MAX_ERROR_BYTES = 1 << 20;
    /** Time since the first event after which the prompt has not ended its engine, in milliseconds. */
    private static final double SOUND_AFTER_MILLIS = 1_000;

    private static final Logger log = Logger.getLogger(StreamAttempt.class);

    private final RelayContext context;
    private final Exchange exchange;
    private final UpstreamClient client;
    private final UpstreamClient.OutgoingRequest outgoing;
    private final EngineProfile profile;
    private final Placement placement;
    private final EngineJob job;
    private final CallerStream stream;
    private final OptionalLong resumeAfter;
    private final CrashGuard guard;
    private final Listener listener;
    private final EventFlow flow;
    private final HeldBytes.Share held;
    private final Buffer errorBody = Buffer.buffer();
    private final PaceMeter paceMeter = new PaceMeter();
    private final double sentAt;
    private UpstreamAttempt upstreamAttempt;
    private Reservation reservation;
    private AnswerFacts responseHead;
    private MultiMap responseHeaders;
    private double firstEventAt;
    private double lastEventAt;
    private boolean eventReceived;
    private boolean reportedSound;
    private boolean ended;

    StreamAttempt(
            RelayContext context,
            Exchange exchange,
            UpstreamClient client,
            UpstreamClient.OutgoingRequest outgoing,
            EngineProfile profile,
            Placement placement,
            EngineJob job,
            CallerStream stream,
            CrashGuard guard,
            Listener listener) {
        this.context = context;
        this.exchange = exchange;
        this.client = client;
        this.outgoing = outgoing;
        this.profile = profile;
        this.placement = placement;
        this.job = job;
        this.stream = stream;
        this.resumeAfter = stream.lastEventId();
        this.guard = guard;
        this.listener = listener;
        flow = new EventFlow(context.vertx(), context.ticker(), exchange, this, this);
        held = context.bodies().responses().open(this::oversized);
        sentAt = context.now();
        lastEventAt = sentAt;
    }

    void start() {
        context.engineWork().begin(job);
        for (String id : placement.engines()) {
            context.fleet().upstream(id).ifPresent(context::recordSending);
        }
        exchange.addStep("sent:" + String.join("/", placement.engines()) + ":predicted="
                + Math.round(placement.firstTokenMillis()) + ":cost=" + Math.round(placement.cost() * 100) / 100.0
                + ":at="
                + Math.round(exchange.elapsedMillis()));
        Optional<Upstream> decodeEngine = context.fleet().upstream(job.decodeEngine());
        if (decodeEngine.isEmpty()) {
            releaseEngines();
            listener.unreached();
        } else if (placement.needsReservation()) {
            reserve(decodeEngine.get());
        } else {
            send(decodeEngine.get());
        }
    }

    EngineJob job() {
        return job;
    }

    Placement placement() {
        return placement;
    }

    /** Returns whether at least one event has arrived. */
    boolean eventReceived() {
        return eventReceived;
    }

    boolean ended() {
        return ended;
    }

    /**
     * Returns the time of the last event in milliseconds, or of the start if there was none. While the caller does not
     * take what was written, nothing more is read, so the engine does not count as silent.
     */
    double lastEventAt() {
        return Math.max(lastEventAt, flow.heldBackUntil());
    }

    /** Returns how far this attempt, which has been lost, had come at the engine that decodes it. */
    CrashGuard.Progress progress() {
        double now = context.now();
        return new CrashGuard.Progress(
                now - sentAt,
                placement.firstTokenMillis(),
                eventReceived ? OptionalDouble.of(now - firstEventAt) : OptionalDouble.empty());
    }

    AnswerFacts responseHead() {
        return responseHead;
    }

    MultiMap responseHeaders() {
        return responseHeaders;
    }

    /** Ends the attempt and closes its connection, which makes the engines stop. */
    void cancel() {
        releaseEngines();
        if (upstreamAttempt != null) {
            upstreamAttempt.cancel();
        }
    }

    /** Marks the attempt as ended, releases reserved memory and removes the request from the engines' known work. */
    private void releaseEngines() {
        if (ended) {
            return;
        }
        ended = true;
        flow.stop();
        held.close();
        if (reservation != null) {
            reservation.release();
        }
        context.engineWork().end(job);
    }

    private void reserve(Upstream decodeEngine) {
        List<Reservation.Part> parts = new ArrayList<>();
        for (int i = 1; i < placement.engines().size(); i++) {
            long tokens = placement.heldTokens().get(i);
            Optional<Upstream> holder =
                    context.fleet().upstream(placement.engines().get(i));
            if (tokens > 0 && holder.isPresent()) {
                parts.add(new Reservation.Part(holder.get(), tokens));
            }
        }
        String id = "r-" + job.id().daemon() + "-" + job.id().number();
        reservation = new Reservation(context.vertx(), context.engineMemory(), id, parts);
        reservation.acquire().onComplete(held -> {
            if (ended) {
                return;
            }
            if (held.succeeded()) {
                send(decodeEngine);
            } else {
                exchange.addStep("not-reserved");
                releaseEngines();
                listener.notReserved();
            }
        });
    }

    private void send(Upstream decodeEngine) {
        List<String> helpers = new ArrayList<>();
        for (String id : placement.engines()) {
            if (!id.equals(decodeEngine.id())) {
                context.fleet().upstream(id).ifPresent(helper -> helpers.add(helperAddress(helper)));
            }
        }
        UpstreamHeaderValues values = new UpstreamHeaderValues(
                decodeEngine.id(),
                Math.max(1, exchange.remainingMillis()),
                exchange.customer().map(Customer::name),
                helpers,
                resumeAfter);
        upstreamAttempt = client.send(outgoing, decodeEngine, values, new GuardedListener(exchange, this));
    }

    private String helperAddress(Upstream helper) {
        String address = address(helper);
        boolean holds = reservation != null && reservation.holdsAt(helper.id());
        return holds ? address + "/" + reservation.id() : address;
    }

    /** Returns the address of an engine in the form that engines use among themselves (host:port). */
    private static String address(Upstream engine) {
        return engine.entry().address().host() + ":" + engine.entry().address().port();
    }

    /**
     * Returns the engine of this attempt that a response names as the cause of its refusal, by default the decoding
     * engine.
     */
    String faultyEngine(AnswerFacts head) {
        if (head.faultAddress().isPresent()) {
            for (String id : placement.engines()) {
                Optional<Upstream> upstream = context.fleet().upstream(id);
                if (upstream.isPresent() && head.faultAddress().get().equals(address(upstream.get()))) {
                    return id;
                }
            }
        }
        return job.decodeEngine();
    }

    @Override
    public void notSent(Throwable cause) {
        releaseEngines();
        exchange.addStep("unreached");
        listener.unreached();
    }

    @Override
    public void head(AnswerFacts head, MultiMap headers) {
        responseHead = head;
        responseHeaders = headers;
    }

    @Override
    public void data(Buffer bytes) {
        if (responseHead.success()
                && responseHead.isTrusted(exchange.requestHead().attemptId())) {
            flow.feed(bytes);
        } else {
            errorBody.appendBuffer(bytes);
        }
        boolean fits = ended || held.set(flow.bufferedBytes() + errorBody.length());
        if (fits && errorBody.length() > MAX_ERROR_BYTES) {
            oversized();
        }
    }

    @Override
    public void oversized() {
        upstreamAttempt.cancel();
        broken("oversized");
    }

    @Override
    public void pause() {
        upstreamAttempt.pause();
    }

    @Override
    public void resume() {
        upstreamAttempt.resume();
    }

    @Override
    public void event(OptionalLong id, Buffer bytes) {
        if (ended) {
            return;
        }
        double now = context.now();
        context.health().recordActivity(job.decodeEngine(), now);
        if (eventReceived) {
            measurePace(now);
        } else {
            eventReceived = true;
            firstEventAt = now;
            context.engineWork().firstToken(job);
            context.health().recordAnswer(job.decodeEngine(), now);
            LogEvent.of("first-event")
                    .with("request", exchange.requestHead().attemptId())
                    .with("engine", job.decodeEngine())
                    .with("engines", job.engines().size())
                    .with("prompt", job.promptTokens())
                    .with("predicted_ms", Math.round(placement.firstTokenMillis()))
                    .with("seen_ms", Math.round(now - sentAt))
                    .debug(log);
        }
        lastEventAt = now;
        if (now - firstEventAt >= SOUND_AFTER_MILLIS) {
            reportSound();
        }
        listener.event(id, bytes);
    }

    /** Adds the pause before an event to the engine's pace, unless the caller was slow. */
    private void measurePace(double now) {
        if (flow.heldBackUntil() < lastEventAt) {
            paceMeter.addPause(now - lastEventAt);
            paceMeter
                    .pollFactor(profile.passMillis(1, (double) job.promptTokens()))
                    .ifPresent(factor -> reportSlowdown(factor, now));
        }
    }

    /** Reports once that the engine answers this prompt without ending. */
    private void reportSound() {
        if (!reportedSound) {
            reportedSound = true;
            guard.answered();
        }
    }

    private void reportSlowdown(double factor, double now) {
        context.health().slowdown(job.decodeEngine(), factor, now);
        context.engineWork().reportHealth(job.decodeEngine(), false, factor);
    }

    @Override
    public void complete() {
        flow.whenDrained(this::responseEnded);
    }

    private void responseEnded() {
        String attemptId = exchange.requestHead().attemptId();
        releaseEngines();
        if (responseHead.belongsToOtherAttempt(attemptId)) {
            broken("foreign");
        } else if (responseHead.refused() || (responseHead.isTrusted(attemptId) && !responseHead.success())) {
            listener.errorResponse(responseHead, responseHeaders, errorBody);
        } else if (!responseHead.isTrusted(attemptId)) {
            broken("unsigned");
        } else {
            streamEnded();
        }
    }

    private void streamEnded() {
        boolean endMarked = !ConnectionHeaders.endsWithConnection(responseHeaders);
        Optional<CallerStream.Fault> fault = stream.faultAtEnd(flow, endMarked);
        if (fault.isPresent()) {
            broken(fault.get().label());
            return;
        }
        if (endMarked) {
            reportSound();
        }
        listener.complete(flow.rest());
    }

    @Override
    public void broken(Throwable cause) {
        broken("broken");
    }

    private void broken(String cause) {
        releaseEngines();
        exchange.addStep(cause);
        listener.broken(cause);
    }
}
