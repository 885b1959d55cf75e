package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonArray;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Checks a configuration directory and publishes it as a new revision. */
@Command(name = "publish", description = "Check a directory and publish it")
@Examples(
        examples = {"endivehold publish examples/quito --wait", "endivehold publish examples/quito --parent 41"},
        descriptions = {
            "Publish and wait until every live daemon has it in force; exit code 5 means that those named lag",
            "Publish on revision 41, where the directory does not say which revision it was made from"
        })
public final class PublishCommand extends PublishingCommand {
    @Arguments(title = "DIR", description = "Directory of *.json files")
    @Required
    private String directory;

    @Option(
            name = "--parent",
            title = "REVISION",
            description = "Revision that the files were made from; default: the one noted in the directory by the last"
                    + " publish")
    private long parent = -1;

    @Override
    ExitCode run() throws EndiveholdException {
        LocalDirectory local = new LocalDirectory(directory);
        JsonArray objects = LocalDirectory.objects(local.validConfiguration());
        try (DaemonClient client = client()) {
            return publish(client, objects, parentRevision(client, local));
        }
    }

    private long parentRevision(DaemonClient client, LocalDirectory local) throws EndiveholdException {
        if (parent >= 0) {
            return parent;
        }
        if (local.recordedRevision().isPresent()) {
            return local.recordedRevision().getAsLong();
        }
        long current = client.get("/v1/config").getLong("revision");
        if (current > 0) {
            throw new ToolFailure(
                    ErrorType.OPERATOR_REQUEST,
                    "revision " + current + " is published, and " + directory
                            + " does not say which revision it was made from",
                    "run 'endivehold diff " + directory
                            + "', and if you want exactly these changes publish with --parent " + current);
        }
        return 0;
    }

    @Override
    void onPublished(long revision) {
        if (!new LocalDirectory(directory).recordRevision(revision)) {
            environment()
                    .err()
                    .println("endivehold: cannot note the revision in " + directory + "; next time give --parent "
                            + revision);
        }
    }
}
