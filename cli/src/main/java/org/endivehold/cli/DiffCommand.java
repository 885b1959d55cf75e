package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationReader;
import org.endivehold.config.ObjectChange;
import org.endivehold.error.EndiveholdException;

/** Lists the objects and fields in which a directory differs from a published revision. */
@Command(name = "diff", description = "Show what publishing a directory would change")
@Examples(
        examples = {"endivehold diff examples/quito", "endivehold diff examples/quito --revision 40"},
        descriptions = {"Compare with the newest revision", "Compare with revision 40"})
public final class DiffCommand extends OperatorCommand {
    @Arguments(title = "DIR", description = "Directory of *.json files")
    @Required
    private String directory;

    @Option(name = "--revision", title = "REVISION", description = "Revision to compare with; default: the newest")
    private long revision = -1;

    @Override
    ExitCode run() throws EndiveholdException {
        Configuration local = new LocalDirectory(directory).validConfiguration();
        try (DaemonClient client = client()) {
            JsonObject published = client.get(revision < 0 ? "/v1/config" : "/v1/config?revision=" + revision);
            Configuration publishedConfiguration = ConfigurationReader.readDocument(
                            "published",
                            published.getJsonArray("objects").toBuffer().getBytes())
                    .orThrow();
            List<ObjectChange> changes = ObjectChange.between(publishedConfiguration, local);
            JsonArray array = new JsonArray();
            changes.forEach(change -> array.add(change.toString()));
            long against = published.getLong("revision");
            if (!printIfJson(new JsonObject().put("revision", against).put("changes", array))) {
                changes.forEach(change -> print(change.toString()));
                print(changes.size() + " changes against revision " + against);
            }
            return ExitCode.OK;
        }
    }
}
