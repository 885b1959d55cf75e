package org.endivehold.standin;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Command-line tool that runs a stand-in as a separate process. */
@Cli(
        name = "endivehold-standin",
        description = "Stand-ins for the platform and the upstreams, for tests and trials",
        defaultCommand = Help.class,
        commands = {
            Help.class,
            StandinCommand.EngineCommand.class,
            StandinCommand.ServiceCommand.class,
            StandinCommand.StoreCommand.class,
        })
public final class StandinTool {
    private static final int EXIT_USAGE = 2;

    private StandinTool() {}

    /**
     * Runs a command; exits with 2 if the command line is invalid.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        try {
            new com.github.rvesse.airline.Cli<Runnable>(StandinTool.class)
                    .parse(args)
                    .run();
        } catch (ParseException e) {
            System.err.println("endivehold-standin: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }
}
