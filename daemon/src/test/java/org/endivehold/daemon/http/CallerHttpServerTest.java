package org.endivehold.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.endivehold.daemon.Daemon;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.request.AnswerSink;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.daemon.settings.SettingsReader;
import org.endivehold.daemon.settings.TestSettings;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.ModelName;
import org.endivehold.misc.RequestId;
import org.endivehold.upstream.PlainAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallerHttpServerTest {
    private static final int MAX_BODY_BYTES = 4_096;
    private static final int BODY_TIMEOUT_MILLIS = 400;

    @TempDir
    private Path folder;

    private final FakeRunners.Generation generation = new FakeRunners.Generation();
    private DaemonContext context;
    private CallerHttpServer callerServer;
    private Kernel kernel;
    private final FakeRunners.Plain plain = new FakeRunners.Plain();
    private HttpClient client;

    @BeforeEach
    void start() throws Exception {
        begin(true);
    }

    private void begin(boolean configured) throws Exception {
        JsonObject json = TestSettings.json(folder, "h1")
                .put(
                        "limits",
                        new JsonObject()
                                .put("maxBodyBytes", MAX_BODY_BYTES)
                                .put("bodyTimeoutMillis", BODY_TIMEOUT_MILLIS));
        Settings settings = SettingsReader.parse(json.encode());
        context = new Daemon(settings).context();
        callerServer = new CallerHttpServer(context);
        kernel = new Kernel().add(callerServer).add(generation).add(plain).add(new FakeRunners.Config(configured));
        await(kernel.start());
        client = context.vertx().createHttpClient();
    }

    @AfterEach
    void stop() throws Exception {
        await(context.vertx().close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private record Reply(int status, String body, HttpClientResponse response) {
        JsonObject json() {
            return new JsonObject(body);
        }
    }

    private Reply call(HttpMethod method, String path, Buffer body, String... headers) throws Exception {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost("127.0.0.1")
                .setPort(callerServer.port())
                .setURI(path);
        for (int i = 0; i < headers.length; i += 2) {
            options.putHeader(headers[i], headers[i + 1]);
        }
        return await(
                client.request(options).compose(request -> request.send(body).compose(response -> response.body()
                        .map(buffer -> new Reply(response.statusCode(), buffer.toString(), response)))));
    }

    private Reply post(String path, String body, String... headers) throws Exception {
        String[] all = java.util.Arrays.copyOf(headers, headers.length + 2);
        all[headers.length] = "Authorization";
        all[headers.length + 1] = "Bearer " + FakeRunners.KEY;
        return call(HttpMethod.POST, path, Buffer.buffer(body), all);
    }

    @Test
    void streamsEvents() throws Exception {
        Reply reply = post("/v1/completions", "{\"model\":\"rota\",\"prompt\":\"hello\",\"stream\":true}");
        assertEquals(200, reply.status());
        assertTrue(reply.response().getHeader("Content-Type").startsWith("text/event-stream"));
        String[] events = reply.body().split("\n\n", 5);
        assertEquals(5, events.length, reply.body());
        assertTrue(events[0].startsWith("id: 2\ndata: "));
        assertTrue(events[0].contains("\"reattach\":\"token-1\""));
        assertFalse(events[1].contains("reattach"));
        assertTrue(events[2].contains("\"finish_reason\":\"stop\""));
        assertEquals("data: [DONE]", events[3]);
        assertEquals(2, generation.calls.get(0).promptTokens());
    }

    @Test
    void answersWithoutStreaming() throws Exception {
        Reply reply = post(
                "/v1/chat/completions", "{\"model\":\"drafts\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}");
        JsonObject choice = reply.json().getJsonArray("choices").getJsonObject(0);
        assertEquals("one two three", choice.getJsonObject("message").getString("content"));
        assertEquals("user: hi\n", generation.calls.get(0).prompt());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            {"model":"rota"                                          | 400 | bad-json
            []                                                       | 400 | bad-json
            {"prompt":"x"}                                           | 400 | bad-request
            {"model":"rota","prompt":7}                              | 400 | bad-request
            {"model":"rota","prompt":""}                             | 400 | bad-request
            {"model":"rota","prompt":"x","max_tokens":-1}            | 400 | bad-request
            {"model":"rota","prompt":"x","stream":"yes"}             | 400 | bad-request
            {"model":"other","prompt":"x"}                           | 404 | unknown-model
            """)
    void refusesBadBodies(String body, int status, String title) throws Exception {
        Reply reply = post("/v1/completions", body);
        assertEquals(status, reply.status(), reply.body());
        assertEquals(title, reply.json().getString("title"));
        assertEquals("no", reply.json().getString("run"));
        assertEquals(0, generation.calls.size());
    }

    @ParameterizedTest
    @CsvSource({"-5", "0", "soon", "99999999999999999999", "60001"})
    void refusesBadDeadlines(String deadline) throws Exception {
        Reply reply = post("/v1/completions", "{\"model\":\"rota\",\"prompt\":\"x\"}", Deadline.HEADER, deadline);
        assertEquals("bad-deadline", reply.json().getString("title"));
    }

    @ParameterizedTest
    @CsvSource({"Bearer wrong", "Basic abc", "Bearer", "''"})
    void refusesWrongKeys(String authorization) throws Exception {
        Reply reply = call(HttpMethod.POST, "/v1/completions", Buffer.buffer("{}"), "Authorization", authorization);
        assertEquals(401, reply.status());
        assertFalse(reply.body().contains("wrong"));
    }

    @Test
    void refusesBrokenEncoding() throws Exception {
        Buffer body = Buffer.buffer("{\"model\":\"rota\",\"prompt\":\"")
                .appendByte((byte) 0xC3)
                .appendString("\"}");
        Reply reply = call(HttpMethod.POST, "/v1/completions", body, "Authorization", "Bearer " + FakeRunners.KEY);
        assertEquals("bad-encoding", reply.json().getString("title"));
    }

    @Test
    void refusesLargeBodiesAndReleasesTheirBytes() throws Exception {
        String body = "x".repeat(MAX_BODY_BYTES + 1);
        assertEquals(413, post("/v1/completions", body).status());
        assertEquals(0, ((CallerHttpServer.Status) callerServer.status()).bufferedBytes());
        assertEquals(0, ((CallerHttpServer.Status) callerServer.status()).inProgress());
    }

    @Test
    void refusesSlowBodies() throws Exception {
        Promise<String> answer = Promise.promise();
        NetSocket socket = await(context.vertx().createNetClient().connect(callerServer.port(), "127.0.0.1"));
        socket.handler(data -> answer.tryComplete(data.toString(StandardCharsets.UTF_8)));
        socket.write("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + FakeRunners.KEY
                + "\r\nContent-Length: 100\r\n\r\n{");
        assertTrue(await(answer.future()).startsWith("HTTP/1.1 408"));
    }

    @Test
    void cancelsGenerationWhenCallerDisconnects() throws Exception {
        generation.holdOpen = true;
        String body = "{\"model\":\"rota\",\"prompt\":\"x\",\"stream\":true}";
        NetSocket socket = await(context.vertx().createNetClient().connect(callerServer.port(), "127.0.0.1"));
        socket.write("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + FakeRunners.KEY
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        await(generation.held.future());
        socket.close();
        await(generation.cancelled.future());
    }

    @Test
    void shutdownWaitsForStreams() throws Exception {
        generation.holdOpen = true;
        Future<Buffer> answer = client.request(HttpMethod.POST, callerServer.port(), "127.0.0.1", "/v1/completions")
                .compose(request -> request.putHeader("Authorization", "Bearer " + FakeRunners.KEY)
                        .send("{\"model\":\"rota\",\"prompt\":\"x\",\"stream\":true}"))
                .compose(HttpClientResponse::body);
        var sink = await(generation.held.future());
        Promise<Void> stopped = Promise.promise();
        context.vertx().runOnContext(ignored -> kernel.shutdown().onComplete(stopped));
        Promise<Void> notReady = Promise.promise();
        context.vertx().setPeriodic(5, id -> {
            if (!((CallerHttpServer.Status) callerServer.status()).ready()) {
                context.vertx().cancelTimer(id);
                notReady.complete();
            }
        });
        await(notReady.future());
        assertFalse(stopped.future().isComplete());
        context.vertx().runOnContext(ignored -> FakeRunners.Generation.finish(sink));
        assertTrue(await(answer).toString().endsWith("data: [DONE]\n\n"));
        await(stopped.future());
    }

    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void endsExchangeOnlyAfterLastByteWasWritten(boolean streamed, boolean succeeds) throws Exception {
        Promise<Boolean> responseEndedAtCallback = Promise.promise();
        HttpServer server = await(context.vertx()
                .createHttpServer()
                .requestHandler(http -> {
                    Runnable done = () ->
                            responseEndedAtCallback.complete(http.response().ended());
                    CompletionFormat format = new CompletionFormat(new RequestId("r1"), new ModelName("m"), false);
                    AnswerSink sink = streamed
                            ? new EventStreamSink(http.response(), format, done)
                            : new BufferedAnswerSink(http.response(), format, done);
                    if (succeeds) {
                        FakeRunners.Generation.finish(sink);
                    } else {
                        sink.fail(new EndiveholdException(ErrorType.QUEUE_FULL, "interactive"), 1);
                    }
                })
                .listen(0, "127.0.0.1"));
        await(client.request(HttpMethod.GET, server.actualPort(), "127.0.0.1", "/")
                .compose(request -> request.send())
                .compose(HttpClientResponse::body));
        assertTrue(await(responseEndedAtCallback.future()));
    }

    @Test
    void fetchesRestOfStream() throws Exception {
        String auth = "Bearer " + FakeRunners.KEY;
        Reply rest = call(
                HttpMethod.GET, "/v1/streams/token-1", Buffer.buffer(), "Authorization", auth, "Last-Event-ID", "7");
        assertTrue(rest.body().contains("rest from 7"), rest.body());
        Reply none = call(HttpMethod.GET, "/v1/streams/other", Buffer.buffer(), "Authorization", auth);
        assertEquals(404, none.status());
    }

    /** An earlier version may have recorded an answer that is none, and a later call with the same key gets it. */
    @ParameterizedTest
    @CsvSource({"0, content-type", "102, content-type", "600, content-type", "200, content type"})
    void anInvalidAnswerIsReplacedByAnError(int status, String field) throws Exception {
        plain.answer = Optional.of(new PlainAnswer(status, Map.of(field, "text/plain"), new byte[0]));
        Reply reply = post("/shifts/confirm", "{}", "Idempotency-Key", "k1");
        assertEquals(502, reply.status());
        assertEquals("invalid-answer", reply.json().getString("title"));
        assertEquals("unknown", reply.json().getString("run"));
    }

    @Test
    void forwardsPlainCalls() throws Exception {
        Reply refused = post("/shifts/confirm", "{}");
        assertEquals("idempotency-key-required", refused.json().getString("title"));
        Reply passed = post("/shifts/confirm?day=1", "{}", "Idempotency-Key", "k1");
        assertEquals(201, passed.status());
        assertEquals("/shifts/confirm?day=1 k1", passed.body());
        assertEquals(null, passed.response().getHeader("Set-Cookie"));
        assertEquals("/shifts/records/1 -", post("/shifts/records/1", "{}").body());
        assertEquals(404, post("/shiftsrecords", "{}").status());
        assertNotNull(passed.response().getHeader("Endivehold-Request-Id"));
    }

    @Test
    void isNotReadyWithoutConfiguration() throws Exception {
        stop();
        begin(false);
        assertEquals(200, call(HttpMethod.GET, "/livez", Buffer.buffer()).status());
        assertEquals(503, call(HttpMethod.GET, "/readyz", Buffer.buffer()).status());
        assertEquals(503, post("/v1/completions", "{}").status());
    }
}
