package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Instant;
import org.endivehold.error.EndiveholdException;

/** Lists the published revisions that are still stored. */
@Command(name = "history", description = "List published revisions, newest first")
@Examples(
        examples = {"endivehold history"},
        descriptions = {"Revision, time, operator and publish id of the last 50"})
public final class HistoryCommand extends OperatorCommand {
    @Override
    ExitCode run() throws EndiveholdException {
        try (DaemonClient client = client()) {
            JsonObject history = client.get("/v1/history");
            if (printIfJson(history)) {
                return ExitCode.OK;
            }
            JsonArray revisions = history.getJsonArray("revisions");
            for (int i = 0; i < revisions.size(); i++) {
                JsonObject revision = revisions.getJsonObject(i);
                print(String.format(
                        java.util.Locale.ROOT,
                        "%8d  %s  %-16s  %s",
                        revision.getLong("revision"),
                        Instant.ofEpochMilli(revision.getLong("publishedAtMillis")),
                        revision.getString("operator"),
                        revision.getString("publishId")));
            }
            return ExitCode.OK;
        }
    }
}
