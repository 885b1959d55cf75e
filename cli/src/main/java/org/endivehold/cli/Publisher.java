package org.endivehold.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Publishes configurations and waits until every live daemon has a revision in force. */
final class Publisher {
    private static final long POLL_MILLIS = 250;

    private final DaemonClient client;
    private final String operator;

    Publisher(DaemonClient client, String operator) {
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
     * Waits until every live daemon reports a revision or a newer one as in force.
     *
     * @param revision the revision
     * @param timeoutMillis longest time to wait, in milliseconds
     * @return the daemons that do not report it yet, each with the reason; empty if all live ones do
     */
    List<String> awaitAllDaemons(long revision, long timeoutMillis) throws EndiveholdException {
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

    /** Returns the daemons of a fleet document that do not answer or report an older revision. */
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
