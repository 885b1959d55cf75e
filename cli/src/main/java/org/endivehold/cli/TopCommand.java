package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.concurrent.TimeUnit;
import org.endivehold.error.EndiveholdException;

/** Prints the state of the fleet and refreshes it periodically. */
@Command(name = "top", description = "Show the fleet and refresh it until interrupted")
@Examples(
        examples = {"endivehold top --interval 1"},
        descriptions = {"Refresh every second; end with Ctrl-C"})
public final class TopCommand extends OperatorCommand {
    private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";

    @Option(name = "--interval", title = "SECONDS", description = "Time between refreshes; default 2")
    private long intervalSeconds = 2;

    @Option(name = "--count", title = "N", description = "Number of refreshes; default: until interrupted")
    private long count = Long.MAX_VALUE;

    @Override
    ExitCode run() throws EndiveholdException {
        try (DaemonClient client = client()) {
            for (long shown = 1; shown <= count; shown++) {
                String text = String.join(System.lineSeparator(), FleetView.render(client.get("/v1/fleet")));
                print(CLEAR_SCREEN + text);
                if (shown < count) {
                    TimeUnit.SECONDS.sleep(Math.max(1, intervalSeconds));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }
}
