package org.endivehold.daemon.platform;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.HostId;
import org.endivehold.misc.ZoneName;
import org.endivehold.platform.HostEntry;
import org.endivehold.platform.HostList;

/**
 * Reads the platform's host list over HTTP: {@code {"hosts": [{"host", "zone", "address", "peerPort", "leaving"}]}}.
 */
public final class HttpHostList implements Service, HostList {
    /** Name of the service. */
    public static final String NAME = "hosts";

    private static final long TIMEOUT_MILLIS = 1_000;
    private static final int MAX_HOSTS = 10_000;
    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    private final DaemonContext context;
    private final HttpClient client;

    /**
     * Creates the adapter.
     *
     * @param context what the daemon's services share
     */
    public HttpHostList(DaemonContext context) {
        this.context = context;
        this.client = context.vertx()
                .createHttpClient(new HttpClientOptions()
                        .setConnectTimeout((int) TIMEOUT_MILLIS)
                        .setMaxRedirects(0));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        return client.close();
    }

    @Override
    public CompletionStage<List<HostEntry>> hosts() {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setAbsoluteURI(context.settings().hosts().url())
                .setIdleTimeout(TIMEOUT_MILLIS);
        return client.request(options)
                .compose(request -> request.send().compose(HttpHostList::body).onFailure(failure -> request.reset()))
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .compose(HttpHostList::parse)
                .recover(failure -> Future.failedFuture(
                        failure instanceof EndiveholdException
                                ? failure
                                : new EndiveholdException(ErrorType.HOST_LIST_UNAVAILABLE, failure.getMessage())))
                .toCompletionStage();
    }

    private static Future<Buffer> body(HttpClientResponse response) {
        if (response.statusCode() != 200) {
            return unavailable("status " + response.statusCode());
        }
        Buffer body = Buffer.buffer();
        response.handler(piece -> {
            body.appendBuffer(piece);
            if (body.length() > MAX_ANSWER_BYTES) {
                response.request().reset();
            }
        });
        return response.end().map(body);
    }

    private static Future<List<HostEntry>> parse(Buffer body) {
        try {
            JsonArray hosts = new JsonObject(body).getJsonArray("hosts", new JsonArray());
            if (hosts.size() > MAX_HOSTS) {
                return unavailable("more than " + MAX_HOSTS + " hosts");
            }
            List<HostEntry> entries = new ArrayList<>();
            for (int i = 0; i < hosts.size(); i++) {
                entries.add(entry(hosts.getJsonObject(i)));
            }
            return Future.succeededFuture(List.copyOf(entries));
        } catch (RuntimeException e) {
            return unavailable("malformed: " + e.getMessage());
        }
    }

    private static HostEntry entry(JsonObject host) {
        return new HostEntry(
                new HostId(host.getString("host")),
                new ZoneName(host.getString("zone")),
                host.getString("address"),
                host.getInteger("peerPort"),
                host.getBoolean("leaving", false));
    }

    private static <T> Future<T> unavailable(String reason) {
        return Future.failedFuture(new EndiveholdException(ErrorType.HOST_LIST_UNAVAILABLE, reason));
    }
}
