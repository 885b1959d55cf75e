package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivehold.error.EndiveholdException;

/** Base of the commands that publish a configuration, with their shared options. */
abstract class PublishingCommand extends OperatorCommand {
    @Option(name = "--wait", description = "Return only when every live daemon has the revision in force")
    private boolean wait;

    @Option(name = "--timeout", title = "SECONDS", description = "Longest time to wait; default 30")
    private long timeoutSeconds = 30;

    @Option(name = "--operator", title = "NAME", description = "Who publishes; default: USER from the environment")
    private String operator = "";

    @Option(
            name = "--publish-id",
            title = "ID",
            description = "Id of this publish; give the same one to repeat a publish whose outcome is unknown")
    private String publishId = "";

    /** Publishes a configuration, waits for the daemons if {@code --wait} was given, and prints the outcome. */
    ExitCode publish(DaemonClient client, JsonArray objects, long parent) throws EndiveholdException {
        String name = operator.isEmpty() ? environment().variable("USER", "unknown") : operator;
        Publisher publisher = new Publisher(client, name);
        String id = publishId.isEmpty() ? Publisher.newId() : publishId;
        if (!json()) {
            print("publishing on revision " + parent + " as " + id);
        }
        JsonObject published = publisher.publish(objects, parent, id);
        long revision = published.getLong("revision");
        onPublished(revision);
        List<String> lagging =
                wait ? publisher.awaitAllDaemons(revision, TimeUnit.SECONDS.toMillis(timeoutSeconds)) : List.of();
        if (!printIfJson(published.put("lagging", new JsonArray(lagging)))) {
            print("revision " + revision + " is published" + (published.getBoolean("repeated") ? " already" : ""));
            if (wait) {
                print(lagging.isEmpty() ? "in force at every live daemon" : "lagging: " + String.join(", ", lagging));
            }
        }
        return lagging.isEmpty() ? ExitCode.OK : ExitCode.LAGGING;
    }

    /** Called with the new revision after a successful publish; does nothing by default. */
    void onPublished(long revision) {}
}
