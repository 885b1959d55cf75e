package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.endivehold.error.EndiveholdException;

/** Shows who asked for how much, who got it and who waited, from the daemons' log files. */
@Command(name = "requests", description = "Summarize requests by customer, route, prompt length or daemon, from logs")
@Examples(
        examples = {"endivehold requests --by customer --logs a.log --logs b.log"},
        descriptions = {"Shows the share of the work that each customer asked for and got, and its waiting times"})
public final class RequestsCommand extends OperatorCommand {
    @Option(name = "--by", title = "KEY", description = "customer (default), route, length or daemon")
    @AllowedRawValues(allowedValues = {"customer", "route", "length", "daemon"})
    private String key = "customer";

    @Option(name = "--logs", title = "FILE", description = "A daemon's log; may be given more than once")
    @Required
    private List<String> logs = new ArrayList<>();

    @Override
    ExitCode run() throws EndiveholdException {
        List<String> text =
                new RequestTable(LogFiles.read(logs), RequestTable.Key.valueOf(key.toUpperCase(Locale.ROOT))).text();
        if (!printIfJson(new JsonObject().put("requests", new JsonArray(text)))) {
            text.forEach(this::print);
            if (text.isEmpty()) {
                print("no log holds a request");
            }
        }
        return text.isEmpty() ? ExitCode.FAULTS : ExitCode.OK;
    }
}
