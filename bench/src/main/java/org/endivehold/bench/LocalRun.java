package org.endivehold.bench;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.endivehold.bench.fleet.Fleet;
import org.endivehold.bench.fleet.FleetPlan;
import org.endivehold.bench.fleet.Waiting;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationReader;
import org.endivehold.config.Route;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/**
 * Sends one prompt through a fleet of three daemons, four engines in three availability zones and one plain service.
 */
final class LocalRun {
    private static final int ENGINES = 4;
    private static final int DAEMONS = 3;
    private static final int MAX_TOKENS = 120;
    private static final String ROUTE = "rota-drafts";
    private static final String API_KEY = "example-key-rota-office";
    private static final String DATA_PREFIX = "data: ";
    private static final double NANOS_PER_MILLI = 1e6;

    private final Path examples;
    private final Path file;
    private final boolean keep;
    private final Vertx vertx = Vertx.vertx();
    private final AtomicInteger pieces = new AtomicInteger();
    private final AtomicLong firstAt = new AtomicLong();

    LocalRun(Path examples, Path file, boolean keep) {
        this.examples = examples;
        this.file = file;
        this.keep = keep;
    }

    void run() throws EndiveholdException {
        String prompt = prompt();
        Configuration configuration =
                ConfigurationReader.readDirectory(examples.resolve("quito")).orThrow();
        reduce(configuration);
        long begin = System.nanoTime();
        try (Fleet fleet =
                new Fleet(FleetPlan.builder(configuration).daemons(DAEMONS).build())) {
            System.out.printf(
                    "%d daemons, %d engines, %d plain service up in %.0f ms, configuration in force%n%n",
                    DAEMONS,
                    fleet.standins().engines().size(),
                    fleet.standins().services().size(),
                    millisSince(begin));
            sendPrompt(fleet, prompt);
            if (keep) {
                waitForInterrupt(fleet);
            }
        }
    }

    /** Keeps the first four engines and one plain service, and removes the other plain services from the routes. */
    private static void reduce(Configuration configuration) {
        int[] seen = {0, 0};
        configuration.upstreams().values().removeIf(upstream -> {
            boolean engine = upstream.kind() == Upstream.Kind.ENGINE;
            int index = engine ? 0 : 1;
            seen[index]++;
            return seen[index] > (engine ? ENGINES : 1);
        });
        configuration.routes().replaceAll((name, route) -> Route.Builder.from(route)
                .upstreams(route.upstreams().stream()
                        .filter(configuration.upstreams()::containsKey)
                        .toList())
                .build());
    }

    private String prompt() throws EndiveholdException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.BAD_REQUEST, "cannot read " + file).causedBy(e);
        }
    }

    private void sendPrompt(Fleet fleet, String prompt) throws EndiveholdException {
        HttpClient client = vertx.createHttpClient();
        JsonObject body = new JsonObject()
                .put("model", ROUTE)
                .put("prompt", prompt)
                .put("max_tokens", MAX_TOKENS)
                .put("stream", true);
        long begin = System.nanoTime();
        int port = fleet.daemons().get(0).callerPort();
        Waiting.on(client.request(HttpMethod.POST, port, "127.0.0.1", "/v1/completions")
                .compose(request ->
                        request.putHeader("Authorization", "Bearer " + API_KEY).send(body.toBuffer()))
                .compose(this::printStream));
        System.out.printf(
                "%n%nprompt-bytes=%d pieces=%d first-piece-ms=%.0f total-ms=%.0f%n",
                prompt.length(), pieces.get(), (firstAt.get() - begin) / NANOS_PER_MILLI, millisSince(begin));
    }

    private Future<Void> printStream(HttpClientResponse response) {
        if (response.statusCode() != 200) {
            return response.body()
                    .compose(text ->
                            Future.failedFuture(new EndiveholdException(ErrorType.BAD_REQUEST, text.toString())));
        }
        response.handler(RecordParser.newDelimited("\n", this::printPiece));
        return response.end();
    }

    private void printPiece(Buffer buffer) {
        String line = buffer.toString();
        if (!line.startsWith(DATA_PREFIX) || line.endsWith("[DONE]")) {
            return;
        }
        firstAt.compareAndSet(0, System.nanoTime());
        pieces.incrementAndGet();
        JsonObject choice = new JsonObject(line.substring(DATA_PREFIX.length()))
                .getJsonArray("choices")
                .getJsonObject(0);
        System.out.print(choice.getString("text"));
        System.out.flush();
    }

    private static void waitForInterrupt(Fleet fleet) throws EndiveholdException {
        System.out.printf(
                "%nTry:%n  curl -N http://127.0.0.1:%d/v1/completions -H 'Authorization: Bearer %s' \\%n"
                        + "    -d '{\"model\":\"%s\",\"prompt\":\"hello\",\"max_tokens\":20,\"stream\":true}'%n"
                        + "Ctrl-C ends it.%n",
                fleet.daemons().get(0).callerPort(), API_KEY, ROUTE);
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MILLI;
    }
}
