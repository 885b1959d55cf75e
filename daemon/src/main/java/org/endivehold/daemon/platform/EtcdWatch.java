package org.endivehold.daemon.platform;

import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.JsonEventType;
import io.vertx.core.parsetools.JsonParser;
import java.util.function.Consumer;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.misc.LogEvent;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.WatchListener;
import org.jboss.logging.Logger;

/**
 * One watch of a key prefix. A lost connection is opened again after a delay with exponential backoff and jitter. The
 * listener has to resync after each connect, because changes between two connections are not reported.
 */
final class EtcdWatch implements PlatformStore.Watch {
    private static final Logger log = Logger.getLogger(EtcdWatch.class);
    private static final long MIN_RECONNECT_DELAY_MILLIS = 100;
    private static final long MAX_RECONNECT_DELAY_MILLIS = 2_000;

    private final DaemonContext context;
    private final EtcdClient client;
    private final EtcdJson json;
    private final String prefix;
    private final WatchListener listener;
    private final Consumer<EtcdWatch> onClose;
    private HttpClientResponse response;
    private long reconnectDelayMillis = MIN_RECONNECT_DELAY_MILLIS;
    private int connectionNumber;
    private boolean closed;

    EtcdWatch(
            DaemonContext context,
            EtcdClient client,
            EtcdJson json,
            String prefix,
            WatchListener listener,
            Consumer<EtcdWatch> onClose) {
        this.context = context;
        this.client = client;
        this.json = json;
        this.prefix = prefix;
        this.listener = listener;
        this.onClose = onClose;
    }

    void open() {
        int number = ++connectionNumber;
        client.stream("/v3/watch", json.watch(prefix)).onComplete(result -> {
            if (closed) {
                if (result.succeeded()) {
                    result.result().request().reset();
                }
            } else if (result.failed()) {
                reconnect(number, String.valueOf(result.cause().getMessage()));
            } else if (result.result().statusCode() != 200) {
                result.result().request().reset();
                reconnect(number, "status " + result.result().statusCode());
            } else {
                readEvents(number, result.result());
            }
        });
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            onClose.accept(this);
            if (response != null) {
                response.request().reset();
            }
        }
    }

    private void readEvents(int number, HttpClientResponse openedResponse) {
        response = openedResponse;
        JsonParser parser = JsonParser.newParser().objectValueMode();
        parser.handler(event -> {
            if (!closed && number == connectionNumber && event.type() == JsonEventType.VALUE && event.isObject()) {
                handleResult(event.objectValue().getJsonObject("result", new JsonObject()));
            }
        });
        parser.exceptionHandler(failure -> openedResponse.request().reset());
        openedResponse.exceptionHandler(failure -> reconnect(number, String.valueOf(failure.getMessage())));
        openedResponse.endHandler(end -> reconnect(number, "the service ended the watch"));
        openedResponse.handler(parser);
    }

    private void handleResult(JsonObject result) {
        if (result.getBoolean("canceled", false)) {
            response.request().reset();
            return;
        }
        if (result.getBoolean("created", false)) {
            reconnectDelayMillis = MIN_RECONNECT_DELAY_MILLIS;
            listener.resync();
        }
        JsonArray events = result.getJsonArray("events", new JsonArray());
        for (int i = 0; i < events.size() && !closed; i++) {
            handleEvent(events.getJsonObject(i));
        }
    }

    private void handleEvent(JsonObject event) {
        JsonObject kv = event.getJsonObject("kv", new JsonObject());
        if ("DELETE".equals(event.getString("type"))) {
            listener.deleted(json.keyOf(kv));
        } else {
            listener.changed(json.entry(kv));
        }
    }

    private void reconnect(int number, String reason) {
        if (closed || number != connectionNumber) {
            return;
        }
        connectionNumber++;
        LogEvent.of("watch-broken")
                .with("prefix", prefix)
                .with("reason", reason)
                .debug(log);
        long jitter = context.random().nextLong(reconnectDelayMillis);
        context.vertx().setTimer(reconnectDelayMillis + jitter, id -> {
            if (!closed) {
                open();
            }
        });
        reconnectDelayMillis = Math.min(MAX_RECONNECT_DELAY_MILLIS, reconnectDelayMillis * 2);
    }
}
