package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.state.Upstream;
import org.jboss.logging.Logger;

/**
 * One send of a generation to the engines that were chosen for it: memory that it reserves, its connection, the whole
 * events that come, and its place in the account of engines until it ends.
 */
final class StreamAttempt implements UpstreamAttempt.Listener {
    /** Is told how the attempt goes. All but {@link #event} end it. */
    interface Listener {
        /** The memory at other engines was not reserved: nothing was sent. */
        void notReserved();

        /** The writing engine was not reached: nothing was sent. */
        void unreached();

        /** A whole event has come. */
        void event(OptionalLong id, Buffer bytes);

        /** The engine gave a whole answer that is no stream of its own. */
        void answered(AnswerFacts facts, MultiMap headers, Buffer body);

        /** The stream is complete. */
        void complete();

        /** The stream broke off, or is not to be trusted. */
        void broken(String cause);
    }

    private static final Logger log = Logger.getLogger(StreamAttempt.class);

    private final RelayContext context;
    private final Exchange exchange;
    private final UpstreamClient client;
    private final UpstreamClient.Outgoing outgoing;
    private final EngineProfile profile;
    private final Placement placement;
    private final EngineJob job;
    private final OptionalLong resumeAfter;
    private final Listener listener;
    private final EventSplitter splitter = new EventSplitter(this::event);
    private final Buffer refusal = Buffer.buffer();
    private final PaceMeter pace = new PaceMeter();
    private final double sentAt;
    private UpstreamAttempt call;
    private Reservation reservation;
    private AnswerFacts facts;
    private MultiMap headers;
    private double heardAt;
    private boolean begun;
    private boolean ended;

    StreamAttempt(
            RelayContext context,
            Exchange exchange,
            UpstreamClient client,
            UpstreamClient.Outgoing outgoing,
            EngineProfile profile,
            Placement placement,
            EngineJob job,
            OptionalLong resumeAfter,
            Listener listener) {
        this.context = context;
        this.exchange = exchange;
        this.client = client;
        this.outgoing = outgoing;
        this.profile = profile;
        this.placement = placement;
        this.job = job;
        this.resumeAfter = resumeAfter;
        this.listener = listener;
        sentAt = context.now();
        heardAt = sentAt;
    }

    void start() {
        context.engines().begin(job);
        for (String id : placement.engines()) {
            Optional<Upstream> upstream = context.fleet().upstream(id);
            if (upstream.isPresent() && upstream.get().cold(sentAt)) {
                context.cold().sent(id, sentAt);
            }
        }
        exchange.note("sent:" + String.join("/", placement.engines()) + ":predicted="
                + Math.round(placement.firstMillis()) + ":cost=" + Math.round(placement.cost() * 100) / 100.0 + ":at="
                + Math.round(exchange.elapsedMillis()));
        Optional<Upstream> writer = context.fleet().upstream(job.writer());
        if (writer.isEmpty()) {
            end();
            listener.unreached();
        } else if (placement.reserves()) {
            reserve(writer.get());
        } else {
            open(writer.get());
        }
    }

    EngineJob job() {
        return job;
    }

    Placement placement() {
        return placement;
    }

    /** Tells whether an event has come. */
    boolean begun() {
        return begun;
    }

    boolean ended() {
        return ended;
    }

    /** Returns the time of the last event, or of the start. */
    double heardAt() {
        return heardAt;
    }

    AnswerFacts facts() {
        return facts;
    }

    MultiMap headers() {
        return headers;
    }

    /** Ends the attempt; its connection is closed, so that the engines stop. */
    void cancel() {
        end();
        if (call != null) {
            call.cancel();
        }
    }

    /** Gives back the reserved memory and the place in the account. */
    private void end() {
        if (ended) {
            return;
        }
        ended = true;
        if (reservation != null) {
            reservation.end();
        }
        context.engines().end(job);
    }

    private void reserve(Upstream writer) {
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
        reservation = new Reservation(context.vertx(), context.orders(), id, parts);
        reservation.acquire().onComplete(held -> {
            if (ended) {
                return;
            }
            if (held.succeeded()) {
                open(writer);
            } else {
                exchange.note("not-reserved");
                end();
                listener.notReserved();
            }
        });
    }

    private void open(Upstream writer) {
        List<String> helpers = new ArrayList<>();
        for (String id : placement.engines()) {
            if (!id.equals(writer.id())) {
                context.fleet().upstream(id).ifPresent(helper -> helpers.add(helperAddress(helper)));
            }
        }
        UpstreamCall sent = new UpstreamCall(
                writer.id(),
                Math.max(1, exchange.remainingMillis()),
                exchange.customer().map(Customer::name),
                helpers,
                resumeAfter);
        call = client.send(outgoing, writer, sent, this);
    }

    private String helperAddress(Upstream helper) {
        String address = address(helper);
        boolean holds = reservation != null && reservation.holdsAt(helper.id());
        return holds ? address + "/" + reservation.id() : address;
    }

    /** Returns the address of an engine as other engines are told it. */
    private static String address(Upstream engine) {
        return engine.entry().address().host() + ":" + engine.entry().address().port();
    }

    /** Returns the engine of this attempt that an answer blames; the writer if it names none. */
    String blamed(AnswerFacts answer) {
        if (answer.faultAddress().isPresent()) {
            for (String id : placement.engines()) {
                Optional<Upstream> upstream = context.fleet().upstream(id);
                if (upstream.isPresent() && answer.faultAddress().get().equals(address(upstream.get()))) {
                    return id;
                }
            }
        }
        return job.writer();
    }

    @Override
    public void notSent(Throwable cause) {
        end();
        exchange.note("unreached");
        listener.unreached();
    }

    @Override
    public void head(AnswerFacts answer, MultiMap answerHeaders) {
        facts = answer;
        headers = answerHeaders;
    }

    @Override
    public void data(Buffer bytes) {
        if (facts.success() && facts.genuine(exchange.facts().attempt())) {
            splitter.feed(bytes);
        } else {
            refusal.appendBuffer(bytes);
        }
    }

    private void event(OptionalLong id, Buffer bytes) {
        if (ended) {
            return;
        }
        double now = context.now();
        context.health().heard(job.writer(), now);
        if (begun) {
            pace.gap(now - heardAt);
            pace.factor(profile.passMillis(1, (double) job.promptTokens())).ifPresent(factor -> seen(factor, now));
        } else {
            begun = true;
            context.engines().firstToken(job);
            context.health().answered(job.writer(), now);
            LogEvent.of("first-event")
                    .with("request", exchange.facts().attempt())
                    .with("engine", job.writer())
                    .with("engines", job.engines().size())
                    .with("prompt", job.promptTokens())
                    .with("predicted_ms", Math.round(placement.firstMillis()))
                    .with("seen_ms", Math.round(now - sentAt))
                    .debug(log);
        }
        heardAt = now;
        listener.event(id, bytes);
    }

    private void seen(double factor, double now) {
        context.health().pace(job.writer(), factor, now);
        context.engines().tellSeen(job.writer(), false, factor);
    }

    @Override
    public void complete() {
        String attempt = exchange.facts().attempt();
        end();
        if (facts.foreign(attempt)) {
            broken("foreign");
        } else if (facts.refused() || (facts.genuine(attempt) && !facts.success())) {
            listener.answered(facts, headers, refusal);
        } else if (!facts.genuine(attempt)) {
            broken("unsigned");
        } else if (splitter.partial() || !begun) {
            broken("partial");
        } else {
            listener.complete();
        }
    }

    @Override
    public void broken(Throwable cause) {
        broken("broken");
    }

    private void broken(String cause) {
        end();
        exchange.note(cause);
        listener.broken(cause);
    }
}
