package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonObject;
import org.endivehold.config.ConfigurationFault;
import org.endivehold.config.ConfigurationReadResult;

/** Checks a configuration directory locally, without contacting a daemon. */
@Command(name = "check", description = "Check a configuration directory and list every fault")
@Examples(
        examples = {"endivehold check examples/quito"},
        descriptions = {"Exit code 0 without faults, 1 with one line for each fault"})
public final class CheckCommand extends OperatorCommand {
    @Arguments(title = "DIR", description = "Directory of *.json files")
    @Required
    private String directory;

    @Override
    ExitCode run() {
        ConfigurationReadResult reading = new LocalDirectory(directory).read();
        if (!printIfJson(new JsonObject().put("faults", LocalDirectory.faults(reading)))) {
            for (ConfigurationFault fault : reading.faults()) {
                print(fault.toString());
            }
            print(reading.faults().isEmpty() ? "no faults" : reading.faults().size() + " faults");
        }
        return reading.faults().isEmpty() ? ExitCode.OK : ExitCode.FAULTS;
    }
}
