package org.endivehold.cli;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.http.HttpClients;

/**
 * HTTP client for the operators' port. It tries the daemons in order until one answers. Repeating a call whose outcome
 * is unknown is safe, since a publish with the same id takes effect at most once.
 */
final class DaemonClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 3_000;
    private static final long CALL_TIMEOUT_MILLIS = 30_000;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final HttpClient client = HttpClients.create(
            vertx, new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS), new PoolOptions());
    private final List<String> daemons;
    private final String token;

    DaemonClient(List<String> daemons, String token) {
        this.daemons = daemons;
        this.token = token;
    }

    /** Returns the answer to a GET request; fails if no daemon answers or the first answer is an error. */
    JsonObject get(String path) throws EndiveholdException {
        return call(HttpMethod.GET, path, Buffer.buffer());
    }

    /** Returns the answer to a POST request; fails if no daemon answers or the first answer is an error. */
    JsonObject post(String path, JsonObject body) throws EndiveholdException {
        return call(HttpMethod.POST, path, body.toBuffer());
    }

    private JsonObject call(HttpMethod method, String path, Buffer body) throws EndiveholdException {
        List<String> failures = new ArrayList<>();
        for (String daemon : daemons) {
            Answer answer;
            try {
                answer = send(method, daemon + path, body)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get();
            } catch (ExecutionException | IllegalArgumentException e) {
                Throwable cause = e.getCause() == null ? e : e.getCause();
                failures.add(daemon + ": " + cause.getMessage());
                continue;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new ToolFailure(ErrorType.INTERNAL, "interrupted", "run the command again");
            }
            if (answer.status() == 200) {
                return answer.body();
            }
            throw failure(answer.body());
        }
        throw new ToolFailure(
                ErrorType.DAEMON_UNREACHABLE,
                ErrorType.DAEMON_UNREACHABLE.message(String.join("; ", failures)),
                "give the operators' port of a live daemon with --daemon URL or ENDIVEHOLD_DAEMON");
    }

    private record Answer(int status, JsonObject body) {}

    private Future<Answer> send(HttpMethod method, String url, Buffer body) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setAbsoluteURI(url)
                .putHeader("Authorization", "Bearer " + token)
                .putHeader("Content-Type", "application/json");
        return client.request(options)
                .compose(request -> request.send(body))
                .compose(response ->
                        response.body().map(received -> new Answer(response.statusCode(), new JsonObject(received))))
                .timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static ToolFailure failure(JsonObject error) {
        int code = error.getInteger("code", ErrorType.INTERNAL.code());
        Optional<ErrorType> type = java.util.Arrays.stream(ErrorType.values())
                .filter(candidate -> candidate.code() == code)
                .findFirst();
        return new ToolFailure(
                type.orElse(ErrorType.INTERNAL), error.getString("detail", "no detail"), error.getString("next", ""));
    }

    @Override
    public void close() {
        client.close();
        vertx.close();
    }
}
