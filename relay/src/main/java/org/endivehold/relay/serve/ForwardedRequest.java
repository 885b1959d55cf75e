package org.endivehold.relay.serve;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.endivehold.error.ErrorType;
import org.endivehold.http.HeadRules;
import org.endivehold.http.InvalidAnswerException;
import org.endivehold.relay.limit.HeldBytes;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.PeerStream;

/**
 * Serves a request by way of another daemon, which reaches the upstreams of its service.
 *
 * <p>The request is first offered, and sent only once the other daemon has accepted it. So a daemon that is dead,
 * frozen or cut off itself costs a short time and leaves no doubt: the request did not run, and the next daemon is
 * asked. Once the request has been sent, the other daemon decides as for its own; what it says of the outcome is passed
 * on. If its connection ends first, or goes silent, the outcome is unknown: only an idempotent request is sent again,
 * and a stream is resumed after the last event that the caller has.
 *
 * <p>Example: daemon {@code a} offers a request to {@code b}, which has frozen; 250 ms later to {@code c}, which
 * accepts it, and is killed after event 7. {@code a} offers the rest, after event 7, to {@code d}.
 */
final class ForwardedRequest implements RequestHandler {
    /** Most daemons to which one request is offered. */
    private static final int MAX_OFFERS = 4;
    /** Time within which an offer has to be answered, in milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 250;
    /** Time without a message after which a daemon that accepted a request counts as lost, in milliseconds. */
    private static final long SILENCE_MILLIS = 3 * ForwardReceiver.PING_MILLIS + 100;
    /** Largest response body that is accepted, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    private static final int NOT_RUN_STATUS = 503;

    private final RelayContext context;
    private final Exchange exchange;
    private final NetClient client;
    private final IncomingRequest request;
    private final String service;
    private final Runnable fallback;
    private final Set<String> asked = new HashSet<>();
    private final CallerStream stream;
    private final HeldBytes.Share held;
    private final int sends;
    private boolean counted;
    private boolean sentOnce;
    private int possibleRuns;
    private int offers;
    private DaemonEntry daemon;
    private PeerStream connection;
    private boolean accepted;
    private CallerStream.Head head;
    private Buffer body = Buffer.buffer();
    private StreamSource source;
    private StreamedAnswer answer;
    private long timer = -1;
    private boolean ended;
    private boolean responseSent;

    /**
     * Creates the handler; {@link #start} looks for a daemon.
     *
     * @param context components that are shared by all handlers
     * @param exchange the request and the response to it
     * @param client opens connections to daemons
     * @param request the request as the caller sent it
     * @param service service that has to run it
     * @param progress how far it has come
     * @param fallback runs if no daemon takes the request
     */
    ForwardedRequest(
            RelayContext context,
            Exchange exchange,
            NetClient client,
            IncomingRequest request,
            String service,
            RequestProgress progress,
            Runnable fallback) {
        this.context = context;
        this.exchange = exchange;
        this.client = client;
        this.request = request;
        this.service = service;
        this.fallback = fallback;
        this.stream = new CallerStream(exchange, progress.lastEventId());
        this.counted = progress.counted();
        this.sends = progress.sends();
        this.possibleRuns = progress.possibleRuns();
        this.held = context.bodies().responses().open(this::evicted);
    }

    @Override
    public void start() {
        offerToNext();
    }

    @Override
    public void cancel() {
        leaveDaemon();
        ended = true;
        if (!responseSent) {
            held.close();
        }
    }

    /** All bodies together have become too large, and this response is the largest of them. */
    private void evicted() {
        body = Buffer.buffer();
        if (responseSent) {
            exchange.abandonResponse();
        } else {
            connectionLost("evicted");
        }
    }

    private void offerToNext() {
        if (ended || exchange.ended()) {
            return;
        }
        Optional<DaemonEntry> next =
                offers < MAX_OFFERS ? context.neighbours().choose(service, asked) : Optional.empty();
        if (next.isEmpty()) {
            ended = true;
            undeliverable();
            return;
        }
        offers++;
        daemon = next.get();
        asked.add(daemon.name());
        accepted = false;
        context.neighbours().begun(daemon.name());
        exchange.addStep("offered:" + daemon.name() + ":at=" + Math.round(exchange.elapsedMillis()));
        DaemonEntry offeredTo = daemon;
        PeerStream.open(client, daemon.address())
                .onSuccess(opened -> opened(offeredTo, opened))
                .onFailure(failure -> {
                    if (offeredTo.equals(daemon) && !ended) {
                        declined("not-connected");
                    }
                });
    }

    /** No daemon is left. Once one has had the request, its progress is known here only. */
    private void undeliverable() {
        context.metrics().forwarded("undeliverable");
        if (!sentOnce) {
            fallback.run();
        } else if (possibleRuns > 0 || exchange.responseBegun()) {
            exchange.fail(502, ErrorType.UPSTREAM_UNREACHABLE, 0);
        } else {
            exchange.refuse(ErrorType.UPSTREAM_UNREACHABLE, RequestDispatcher.NO_SERVICE_RETRY_AFTER_MILLIS);
        }
    }

    private void opened(DaemonEntry offeredTo, PeerStream opened) {
        if (!offeredTo.equals(daemon) || ended) {
            opened.close();
            return;
        }
        connection = opened;
        opened.send(new PeerMessage.ForwardOffer(context.neighbours().self().name(), service, context.tableVersion()));
        restartTimer(ANSWER_TIMEOUT_MILLIS);
        opened.handle(
                message -> {
                    if (opened == connection) {
                        received(message);
                    }
                },
                () -> {
                    if (opened == connection) {
                        connectionLost("closed");
                    }
                });
    }

    private void restartTimer(long millis) {
        stopTimer();
        timer = context.vertx().setTimer(millis, fired -> {
            timer = -1;
            connectionLost("silent");
        });
    }

    private void stopTimer() {
        if (timer >= 0) {
            context.vertx().cancelTimer(timer);
            timer = -1;
        }
    }

    private void received(PeerMessage message) {
        if (accepted) {
            receivedOfResponse(message);
        } else if (message instanceof PeerMessage.ForwardAccepted) {
            sendRequest();
        } else if (message instanceof PeerMessage.ForwardDeclined no) {
            declined(no.reason());
        } else if (message instanceof PeerMessage.ForwardedFailure failure) {
            failed(failure);
        }
    }

    private void receivedOfResponse(PeerMessage message) {
        if (!source.paused) {
            restartTimer(SILENCE_MILLIS);
        }
        if (message instanceof PeerMessage.ForwardedHead begun) {
            headReceived(begun);
        } else if (message instanceof PeerMessage.ForwardedBytes part && head != null) {
            bytes(part.bytes());
        } else if (message instanceof PeerMessage.ForwardedEnd && head != null) {
            stopTimer();
            endReceived();
        } else if (message instanceof PeerMessage.ForwardedFailure failure) {
            failed(failure);
        }
    }

    private void headReceived(PeerMessage.ForwardedHead begun) {
        if (head != null) {
            connectionLost("second-head");
        } else if (!leaveIfInvalid(begun.status(), begun.headers())) {
            head = new CallerStream.Head(begun.status(), ForwardedHeaders.fromMessage(begun.headers()));
            answer = begun.stream()
                    ? new StreamedAnswer(context, exchange, stream, head, source, new StreamOutcome())
                    : null;
        }
    }

    private void endReceived() {
        if (answer == null) {
            complete();
        } else {
            answer.sourceEnded(true);
        }
    }

    /**
     * Counts the request as lost at the other daemon if the head that came from there is invalid: an older version
     * passes on whatever an upstream sends.
     *
     * @return whether it is invalid
     */
    private boolean leaveIfInvalid(int status, List<PeerMessage.Header> headers) {
        Optional<InvalidAnswerException> violation = HeadRules.violation(status, ForwardedHeaders.fromMessage(headers));
        violation.ifPresent(invalid -> {
            context.recordInvalidAnswer(exchange.requestHead().attemptId(), daemon.name(), invalid);
            connectionLost("invalid-answer");
        });
        return violation.isPresent();
    }

    private void sendRequest() {
        accepted = true;
        restartTimer(SILENCE_MILLIS);
        head = null;
        body = Buffer.buffer();
        source = new StreamSource(connection);
        answer = null;
        stream.beginAttempt();
        exchange.addStep("forwarded:" + daemon.name() + ":at=" + Math.round(exchange.elapsedMillis()));
        UpstreamClient.OutgoingRequest outgoing = request.outgoing();
        connection.send(new PeerMessage.ForwardedRequest(
                service,
                outgoing.method().name(),
                outgoing.uri(),
                request.path(),
                ForwardedHeaders.toMessage(outgoing.headers()),
                outgoing.body().length(),
                exchange.customer(),
                Math.max(1, exchange.remainingMillis()),
                stream.lastEventId(),
                sends,
                possibleRuns,
                counted));
        connection.sendBytes(outgoing.body());
        counted = true;
        sentOnce = true;
    }

    private void bytes(Buffer part) {
        if (answer != null) {
            answer.feed(part);
            return;
        }
        body.appendBuffer(part);
        boolean fits = held.set(body.length());
        if (fits && body.length() > MAX_RESPONSE_BYTES) {
            connectionLost("oversized");
        }
    }

    /** Reading from the other daemon; while it is paused, its silence says nothing. */
    private final class StreamSource implements EventFlow.Source {
        private final PeerStream read;
        private boolean paused;

        StreamSource(PeerStream read) {
            this.read = read;
        }

        @Override
        public void pause() {
            paused = true;
            read.pause();
            stopTimer();
        }

        @Override
        public void resume() {
            paused = false;
            read.resume();
            if (read == connection && !ended) {
                restartTimer(SILENCE_MILLIS);
            }
        }
    }

    private final class StreamOutcome implements StreamedAnswer.Listener {
        @Override
        public void streamWhole() {
            answered();
        }

        @Override
        public void streamBroken(String cause) {
            connectionLost(cause);
        }
    }

    /** Passes on an answer that is no stream. */
    private void complete() {
        if (ended) {
            return;
        }
        if (EventStreams.isBrokenOff(exchange.route(), head, body)) {
            connectionLost(CallerStream.Fault.PARTIAL.label());
            return;
        }
        answered();
        responseSent = true;
        exchange.respond(head.status(), head.headers(), body).onComplete(sent -> held.close());
    }

    private void answered() {
        ended = true;
        leaveDaemon();
        context.metrics().forwarded("answered");
    }

    /** The other daemon gave up: if the request did not run there for a reason of its own, another one is asked. */
    private void failed(PeerMessage.ForwardedFailure failure) {
        if (leaveIfInvalid(failure.status(), List.of())) {
            return;
        }
        held.empty();
        leaveDaemon();
        context.metrics().forwarded(failure.type().label());
        boolean mayRunElsewhere = failure.status() == NOT_RUN_STATUS
                && (failure.type() == ErrorType.UPSTREAM_UNREACHABLE || failure.type() == ErrorType.SHUTTING_DOWN);
        if (mayRunElsewhere) {
            exchange.addStep("returned:" + failure.type().label());
            offerToNext();
            return;
        }
        ended = true;
        int status = possibleRuns > 0 && failure.status() == NOT_RUN_STATUS ? 502 : failure.status();
        exchange.fail(status, failure.type(), failure.retryAfterMillis());
    }

    private void declined(String reason) {
        exchange.addStep("declined:" + reason);
        context.metrics().forwarded("declined");
        context.neighbours().declined(daemon.name());
        leaveDaemon();
        offerToNext();
    }

    /** The connection to the other daemon ended, went silent or broke its protocol. */
    private void connectionLost(String reason) {
        if (ended) {
            return;
        }
        if (!accepted) {
            declined(reason);
            return;
        }
        held.empty();
        exchange.addStep("lost:" + reason);
        context.metrics().forwarded("lost");
        context.neighbours().declined(daemon.name());
        leaveDaemon();
        boolean mayRunAgain = stream.mayRunAgain(possibleRuns)
                && context.retryShare().tryTake(service, context.daemons().divisor(), context.now());
        possibleRuns++;
        if (mayRunAgain) {
            offerToNext();
        } else {
            ended = true;
            exchange.fail(502, ErrorType.UPSTREAM_BROKEN, 0);
        }
    }

    /** Closes the connection to the other daemon, which ends its work on the request. */
    private void leaveDaemon() {
        stopTimer();
        if (daemon != null) {
            context.neighbours().ended(daemon.name());
            daemon = null;
        }
        if (connection != null) {
            PeerStream left = connection;
            connection = null;
            left.close();
        }
        if (answer != null) {
            answer.stop();
        }
        accepted = false;
    }
}
