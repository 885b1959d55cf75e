package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.PrintStream;
import java.util.Map;

/** Main class of the operators' command-line tool {@code endivehold}. */
@Cli(
        name = "endivehold",
        description = "Checks, publishes and watches the configuration of a fleet of daemons",
        commands = {
            Help.class,
            CheckCommand.class,
            PublishCommand.class,
            DiffCommand.class,
            HistoryCommand.class,
            StatusCommand.class,
            TopCommand.class,
            TraceCommand.class,
            ExplainCommand.class,
            RequestsCommand.class,
            CompletionCommand.class
        },
        groups = {
            @Group(
                    name = "zone",
                    description = "Take an availability zone out or bring it back",
                    commands = {ZoneOutCommand.class, ZoneInCommand.class}),
            @Group(
                    name = "upstream",
                    description = "Drain an upstream or let it serve again",
                    commands = {UpstreamDrainCommand.class, UpstreamUndrainCommand.class})
        })
public final class OperatorTool {
    private OperatorTool() {}

    /**
     * Runs the tool and ends the process with its exit code.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err, System.getenv()).code());
    }

    /**
     * Runs the tool without ending the process.
     *
     * @param args the command line
     * @param out stream for results
     * @param err stream for errors
     * @param variables environment variables
     * @return the exit code
     */
    public static ExitCode run(String[] args, PrintStream out, PrintStream err, Map<String, String> variables) {
        Object command;
        try {
            command = new com.github.rvesse.airline.Cli<Object>(OperatorTool.class)
                    .parse(args.length == 0 ? new String[] {"help"} : args);
        } catch (ParseException e) {
            err.println("endivehold: " + e.getMessage());
            err.println("next: run 'endivehold help' for all commands, 'endivehold help COMMAND' for one");
            return ExitCode.USAGE;
        }
        if (command instanceof OperatorCommand operatorCommand) {
            return operatorCommand.execute(new ToolEnvironment(out, err, variables));
        }
        ((Runnable) command).run();
        return ExitCode.OK;
    }
}
