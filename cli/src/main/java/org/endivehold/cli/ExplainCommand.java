package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.error.EndiveholdException;

/** Explains the outcome of a request from the daemons' log files, without contacting a daemon. */
@Command(name = "explain", description = "Explain what became of a request, from the daemons' log files")
@Examples(
        examples = {"endivehold explain 9c41d07be2a35f68 --logs a.log --logs b.log"},
        descriptions = {"Shows each decision on the request, and what else went on at its upstreams and its daemon"})
public final class ExplainCommand extends OperatorCommand {
    @Arguments(title = "REQUEST", description = "Id that the caller sent with the request")
    @Required
    private String request;

    @Option(name = "--logs", title = "FILE", description = "A daemon's log; may be given more than once")
    @Required
    private List<String> logs = new ArrayList<>();

    @Override
    ExitCode run() throws EndiveholdException {
        List<String> text = new RequestExplanation(LogFiles.read(logs), request).text();
        if (!printIfJson(new JsonObject().put("explanation", new JsonArray(text)))) {
            text.forEach(this::print);
            if (text.isEmpty()) {
                print("no log names the request " + request);
            }
        }
        return text.isEmpty() ? ExitCode.FAULTS : ExitCode.OK;
    }
}
