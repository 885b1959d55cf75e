package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import io.vertx.core.json.JsonObject;
import org.endivehold.error.EndiveholdException;

/** Prints the state of the fleet as one daemon sees it. */
@Command(name = "status", description = "Show zones, upstreams, and what each daemon has in force")
@Examples(
        examples = {"endivehold status", "endivehold --json status"},
        descriptions = {"The fleet as seen from one daemon, which asks all others", "The same with every detail"})
public final class StatusCommand extends OperatorCommand {
    @Override
    ExitCode run() throws EndiveholdException {
        try (DaemonClient client = client()) {
            JsonObject fleet = client.get("/v1/fleet");
            if (!printIfJson(fleet)) {
                FleetView.render(fleet).forEach(this::print);
            }
            return ExitCode.OK;
        }
    }
}
