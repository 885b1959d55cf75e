package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.endivehold.config.ObjectKind;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Base of the commands that change the state of one object in the newest revision and publish the result. */
abstract class StateEdit extends PublishingCommand {
    private static final int MAX_ATTEMPTS = 5;

    @Arguments(title = "NAME", description = "Name of the object")
    @Required
    private String name;

    private final ObjectKind kind;
    private final String state;

    StateEdit(ObjectKind kind, String state) {
        this.kind = kind;
        this.state = state;
    }

    /**
     * Edits the newest revision. After a conflict with another publish, it retries on the revision published meanwhile,
     * since the change of one state applies to any revision.
     */
    @Override
    ExitCode run() throws EndiveholdException {
        try (DaemonClient client = client()) {
            for (int attempt = 1; ; attempt++) {
                try {
                    return edit(client);
                } catch (EndiveholdException e) {
                    if (e.type() != ErrorType.CONFIG_CONFLICT || attempt == MAX_ATTEMPTS) {
                        throw e;
                    }
                }
            }
        }
    }

    private ExitCode edit(DaemonClient client) throws EndiveholdException {
        JsonObject newest = client.get("/v1/config");
        JsonArray objects = newest.getJsonArray("objects");
        for (int i = 0; i < objects.size(); i++) {
            JsonObject object = objects.getJsonObject(i);
            if (kind.label().equals(object.getString("kind")) && name.equals(object.getString("name"))) {
                if (state.equals(object.getString("state"))) {
                    return unchanged(newest.getLong("revision"));
                }
                object.put("state", state);
                return publish(client, objects, newest.getLong("revision"));
            }
        }
        throw new ToolFailure(
                ErrorType.OBJECT_UNKNOWN,
                ErrorType.OBJECT_UNKNOWN.message(kind, name),
                "run 'endivehold status' for the names in force");
    }

    private ExitCode unchanged(long revision) {
        if (!printIfJson(new JsonObject().put("revision", revision).put("unchanged", true))) {
            print(kind + " " + name + " is '" + state + "' already in revision " + revision);
        }
        return ExitCode.OK;
    }
}
