package org.endivehold.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.endivehold.bench.workload.Arrival;
import org.endivehold.bench.workload.Size;
import org.endivehold.daemon.upstream.EventStreamParser;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.UpstreamName;
import org.endivehold.standin.engine.GroundTruth;
import org.endivehold.upstream.protocol.ProtocolJson;

/**
 * One request as its caller makes it. The caller retries on another daemon if it cannot connect, reattaches through
 * another daemon if a stream breaks after the reattach token arrived, and gives up 1 s after the deadline.
 */
final class Call {
    private static final String COMPLETIONS = "/v1/completions";
    private static final String STREAMS = "/v1/streams/";
    private static final String DEADLINE = "Endivehold-Deadline-Millis";
    private static final String DEADLINE_EXCEEDED = ErrorType.DEADLINE_EXCEEDED.label();
    private static final long GRACE_MILLIS = 1_000;
    private static final long RETRY_DELAY_MILLIS = 150;
    private static final int MAX_RETRIES = 12;
    private static final UpstreamName DAEMON = new UpstreamName("daemon");

    private final CallerPool pool;
    private final Arrival arrival;
    private final StringBuilder text = new StringBuilder();
    private String prompt = "";
    private EventStreamParser parser = new EventStreamParser(DAEMON);
    private Optional<HttpClientRequest> openRequest = Optional.empty();
    private Optional<String> reattachToken = Optional.empty();
    private String lastEventId = "0";
    private double sentMillis;
    private double firstMillis = -1;
    private int reattached;
    private int retries;
    private boolean finishReasonSeen;
    private boolean done;
    private long timer;

    Call(CallerPool pool, Arrival arrival) {
        this.pool = pool;
        this.arrival = arrival;
    }

    void start() {
        sentMillis = sinceDue();
        timer = pool.vertx()
                .setTimer(arrival.deadlineMillis() + GRACE_MILLIS, ignored -> end(Outcome.SILENT, "deadline"));
        if (arrival.kind().isGeneration()) {
            prompt = pool.prompts().of(arrival);
        }
        send();
    }

    private void send() {
        if (arrival.kind().isGeneration()) {
            String route = arrival.kind() == Arrival.Kind.INTERACTIVE
                    ? pool.size().interactiveRoute()
                    : pool.size().deferrableRoute();
            connect(HttpMethod.POST, COMPLETIONS, completion(route));
        } else {
            boolean once = arrival.kind() == Arrival.Kind.ONCE;
            String path = once ? pool.size().oncePath() : pool.size().queryPath();
            connect(HttpMethod.POST, path, Buffer.buffer("{\"call\":" + arrival.number() + "}"));
        }
    }

    private Buffer completion(String route) {
        return Buffer.buffer("{\"model\":\"" + route + "\",\"stream\":true,\"max_tokens\":" + arrival.maxTokens()
                + ",\"prompt\":\"" + prompt + "\"}");
    }

    private void connect(HttpMethod method, String path, Buffer body) {
        if (done) {
            return;
        }
        int port = pool.balancer().nextPort();
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost("127.0.0.1")
                .setPort(port)
                .setURI(path)
                .putHeader("Authorization", "Bearer " + Size.apiKey(arrival.customer()))
                .putHeader("Content-Type", "application/json")
                .putHeader(DEADLINE, Long.toString(arrival.deadlineMillis()))
                .putHeader("Last-Event-ID", lastEventId);
        if (!arrival.kind().isGeneration()) {
            options.putHeader("Idempotency-Key", arrival.key());
        }
        pool.client()
                .request(options)
                .onSuccess(request -> exchange(request, body))
                .onFailure(cause -> retry(() -> connect(method, path, body)));
    }

    private void retry(Runnable attempt) {
        retries++;
        if (retries > MAX_RETRIES) {
            end(firstMillis < 0 ? Outcome.BROKEN : Outcome.CUT, "no daemon can be reached");
        } else {
            pool.vertx().setTimer(RETRY_DELAY_MILLIS, ignored -> attempt.run());
        }
    }

    private void exchange(HttpClientRequest request, Buffer body) {
        if (done) {
            request.reset();
            return;
        }
        openRequest = Optional.of(request);
        request.send(body).onSuccess(this::handleResponse).onFailure(this::handleDisconnect);
    }

    private void handleResponse(HttpClientResponse response) {
        String type = response.headers().contains("content-type") ? response.getHeader("content-type") : "";
        if (response.statusCode() == 200 && type.startsWith("text/event-stream")) {
            parser = new EventStreamParser(DAEMON);
            response.handler(this::handleChunk);
            response.endHandler(ignored -> handleDisconnect(null));
            response.exceptionHandler(this::handleDisconnect);
        } else {
            response.body().onSuccess(body -> handleBody(response, body)).onFailure(this::handleDisconnect);
        }
    }

    private void handleBody(HttpClientResponse response, Buffer body) {
        if (response.statusCode() == 200) {
            firstMillis = sinceDue();
            end(Outcome.SERVED, "");
        } else {
            endWithProblem(body.getBytes());
        }
    }

    private void handleChunk(Buffer chunk) {
        try {
            for (EventStreamParser.Event event : parser.feed(chunk)) {
                handleEvent(event);
            }
        } catch (EndiveholdException e) {
            end(Outcome.WRONG, e.getMessage());
        }
    }

    private void handleEvent(EventStreamParser.Event event) {
        if (done) {
            return;
        }
        byte[] data = event.data().getBytes(StandardCharsets.UTF_8);
        if (event.name().equals("error")) {
            endWithProblem(data);
            return;
        }
        if (event.data().equals("[DONE]")) {
            endStream();
            return;
        }
        JsonNode node = ProtocolJson.read(data, JsonNode.class).orElseThrow();
        if (node.has("reattach")) {
            reattachToken = Optional.of(node.path("reattach").asText());
        }
        JsonNode choice = node.path("choices").path(0);
        finishReasonSeen |= choice.hasNonNull("finish_reason");
        String piece = choice.path("text").asText();
        if (!piece.isEmpty()) {
            firstMillis = firstMillis < 0 ? sinceDue() : firstMillis;
            text.append(piece);
            lastEventId = event.id();
        }
    }

    private void endStream() {
        String expected = GroundTruth.of(prompt).text(0, arrival.maxTokens());
        boolean correct = finishReasonSeen && expected.contentEquals(text);
        end(correct ? Outcome.SERVED : Outcome.WRONG, correct ? "" : "text differs");
    }

    private void endWithProblem(byte[] json) {
        Optional<JsonNode> node = ProtocolJson.read(json, JsonNode.class);
        String run = node.map(n -> n.path("run").asText()).orElse("");
        String title = node.map(n -> n.path("title").asText()).orElse("malformed problem");
        if (run.equals("no") && firstMillis < 0) {
            end(Outcome.REFUSED, title);
        } else if (run.equals("partial") && !title.equals(DEADLINE_EXCEEDED)) {
            end(Outcome.CUT, title);
        } else {
            end(Outcome.FAILED, title);
        }
    }

    private void handleDisconnect(Throwable cause) {
        if (done) {
            return;
        }
        if (reattachToken.isPresent()) {
            reattached++;
            retry(() -> connect(HttpMethod.GET, STREAMS + reattachToken.get(), Buffer.buffer()));
        } else {
            end(firstMillis < 0 ? Outcome.BROKEN : Outcome.CUT, String.valueOf(cause));
        }
    }

    private void end(Outcome outcome, String error) {
        if (done) {
            return;
        }
        done = true;
        pool.vertx().cancelTimer(timer);
        if (outcome == Outcome.SILENT) {
            openRequest.ifPresent(HttpClientRequest::reset);
        }
        pool.add(new CallResult(arrival, outcome, sentMillis, firstMillis, sinceDue(), error, reattached, workId()));
    }

    private String workId() {
        if (!arrival.kind().isGeneration()) {
            return arrival.key();
        }
        return Long.toHexString(GroundTruth.hash(prompt.getBytes(StandardCharsets.UTF_8), 0, -1));
    }

    private double sinceDue() {
        return pool.elapsedMillis() - arrival.atMillis();
    }
}
