package org.endivehold.bench;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Command-line tool that runs experiments with real daemons and stand-ins for the upstreams. */
@Cli(
        name = "endivehold-bench",
        description = "Experiments with real daemons before stand-in engines, on loopback",
        defaultCommand = Help.class,
        commands = {Help.class, RunCommand.class, SlopesCommand.class, StartCommand.class})
public final class BenchTool {
    private static final int EXIT_USAGE = 2;

    private BenchTool() {}

    /**
     * Runs a command and exits the JVM: 2 for a usage error, else the exit code of the command.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        try {
            Runnable command = new com.github.rvesse.airline.Cli<Runnable>(BenchTool.class).parse(args);
            command.run();
            System.exit(command instanceof BenchCommand bench ? bench.exitCode() : 0);
        } catch (ParseException e) {
            System.err.println("endivehold-bench: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }
}
