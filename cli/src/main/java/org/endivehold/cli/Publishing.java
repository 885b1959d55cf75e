package org.endivehold.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Publishes and waits until every live daemon has the revision in force. */
final class Publishing {
    private static final long POLL_MILLIS = 250;

    private final DaemonClient client;
    private final String operator;

    Publishing(DaemonClient client, String operator) {
        this.client = client;
        this.operator = operator;
    }

    static String newId() {
        return UUID.randomUUID().toString();
    }

    JsonObject publish(JsonArray objects, long parent, String publishId) throws EndiveholdException {
        return client.post(
                "/v1/publish",
                new JsonObject()
                        .put("configuration", objects)
                        .put("parent", parent)
                        .put("publishId", publishId)
                        .put("operator", operator));
    }

    /**
     * Waits.
     *
     * @param revision the revision
     * @param timeoutMillis longest time in milliseconds
     * @return the daemons that do not report the revision yet; empty if all live ones do
     */
    List<String> awaitEverywhere(long revision, long timeoutMillis) throws EndiveholdException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (true) {
            List<String> lagging = lagging(client.get("/v1/fleet?brief=true"), revision);
            if (lagging.isEmpty() || System.nanoTime() >= deadline) {
                return lagging;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new ToolFailure(ErrorType.INTERNAL, "interrupted", "see 'endivehold status'");
            }
        }
    }

    static List<String> lagging(JsonObject fleet, long revision) {
        List<String> lagging = new ArrayList<>();
        JsonArray daemons = fleet.getJsonArray("daemons", new JsonArray());
        for (int i = 0; i < daemons.size(); i++) {
            JsonObject daemon = daemons.getJsonObject(i);
            if (!daemon.getBoolean("answered", false)) {
                lagging.add(daemon.getString("host") + " (does not answer)");
            } else if (FleetView.revision(daemon) < revision) {
                lagging.add(daemon.getString("host") + " (has " + FleetView.revision(daemon) + ")");
            }
        }
        return lagging;
    }
}
