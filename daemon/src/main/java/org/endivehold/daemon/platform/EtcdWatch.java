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
 * One watch. After each connection the listener reads anew, so that nothing that happened in between is missed; lost
 * connections are opened again after a delay that grows and varies at random.
 */
final class EtcdWatch implements PlatformStore.Watch {
    private static final Logger log = Logger.getLogger(EtcdWatch.class);
    private static final long MIN_DELAY_MILLIS = 100;
    private static final long MAX_DELAY_MILLIS = 2_000;

    private final DaemonContext context;
    private final EtcdCaller caller;
    private final EtcdJson json;
    private final String prefix;
    private final WatchListener listener;
    private final Consumer<EtcdWatch> onClose;
    private HttpClientResponse response;
    private long delayMillis = MIN_DELAY_MILLIS;
    private int connection;
    private boolean closed;

    EtcdWatch(
            DaemonContext context,
            EtcdCaller caller,
            EtcdJson json,
            String prefix,
            WatchListener listener,
            Consumer<EtcdWatch> onClose) {
        this.context = context;
        this.caller = caller;
        this.json = json;
        this.prefix = prefix;
        this.listener = listener;
        this.onClose = onClose;
    }

    void open() {
        int opened = ++connection;
        caller.stream("/v3/watch", json.watch(prefix)).onComplete(result -> {
            if (closed) {
                if (result.succeeded()) {
                    result.result().request().reset();
                }
            } else if (result.failed()) {
                reopen(opened, String.valueOf(result.cause().getMessage()));
            } else if (result.result().statusCode() != 200) {
                result.result().request().reset();
                reopen(opened, "status " + result.result().statusCode());
            } else {
                receive(opened, result.result());
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

    private void receive(int opened, HttpClientResponse streamed) {
        response = streamed;
        JsonParser parser = JsonParser.newParser().objectValueMode();
        parser.handler(event -> {
            if (!closed && opened == connection && event.type() == JsonEventType.VALUE && event.isObject()) {
                accept(event.objectValue().getJsonObject("result", new JsonObject()));
            }
        });
        parser.exceptionHandler(failure -> streamed.request().reset());
        streamed.exceptionHandler(failure -> reopen(opened, String.valueOf(failure.getMessage())));
        streamed.endHandler(end -> reopen(opened, "the service ended the watch"));
        streamed.handler(parser);
    }

    private void accept(JsonObject result) {
        if (result.getBoolean("canceled", false)) {
            response.request().reset();
            return;
        }
        if (result.getBoolean("created", false)) {
            delayMillis = MIN_DELAY_MILLIS;
            listener.resync();
        }
        JsonArray events = result.getJsonArray("events", new JsonArray());
        for (int i = 0; i < events.size() && !closed; i++) {
            event(events.getJsonObject(i));
        }
    }

    private void event(JsonObject event) {
        JsonObject kv = event.getJsonObject("kv", new JsonObject());
        if ("DELETE".equals(event.getString("type"))) {
            listener.deleted(json.keyOf(kv));
        } else {
            listener.changed(json.entry(kv));
        }
    }

    private void reopen(int opened, String reason) {
        if (closed || opened != connection) {
            return;
        }
        connection++;
        LogEvent.of("watch-broken")
                .with("prefix", prefix)
                .with("reason", reason)
                .debug(log);
        long jitter = context.random().nextLong(delayMillis);
        context.vertx().setTimer(delayMillis + jitter, id -> {
            if (!closed) {
                open();
            }
        });
        delayMillis = Math.min(MAX_DELAY_MILLIS, delayMillis * 2);
    }
}
