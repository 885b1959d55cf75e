package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Shows the decisions that the daemons still remember for one request. */
@Command(name = "trace", description = "Show the decisions that the daemons made for a request")
@Examples(
        examples = {"endivehold trace h1-1a2b-7"},
        descriptions = {"The request id is in every answer and refusal"})
public final class TraceCommand extends OperatorCommand {
    @Arguments(title = "REQUEST", description = "Request id")
    @Required
    private String request;

    @Override
    ExitCode run() throws EndiveholdException {
        try (DaemonClient client = client()) {
            JsonObject trace = client.get("/v1/trace/" + request);
            if (printIfJson(trace)) {
                return ExitCode.OK;
            }
            int shown = 0;
            JsonArray daemons = trace.getJsonArray("daemons");
            for (int i = 0; i < daemons.size(); i++) {
                shown += show(daemons.getJsonObject(i));
            }
            if (shown == 0) {
                throw new ToolFailure(
                        ErrorType.OBJECT_UNKNOWN,
                        ErrorType.OBJECT_UNKNOWN.message("remembered request", request),
                        "daemons remember their latest requests only; see their logs for request=" + request);
            }
            return ExitCode.OK;
        }
    }

    private int show(JsonObject daemon) {
        JsonArray events = daemon.getJsonArray("events", new JsonArray());
        for (int i = 0; i < events.size(); i++) {
            JsonObject event = events.getJsonObject(i);
            print(daemon.getString("host") + "  " + event.getLong("atMillis") + " ms  " + event.getString("step") + "  "
                    + event.getString("detail"));
        }
        return events.size();
    }
}
