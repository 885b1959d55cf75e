package org.endivehold.bench;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.nio.file.Path;
import org.endivehold.error.EndiveholdException;

/** {@code run-local [--keep] [FILE]}: starts a small fleet in one JVM and sends one prompt through it. */
@Command(name = "run-local", description = "Runs a small fleet on loopback and sends one prompt through it")
public final class LocalTool {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Option(
            name = {"--keep"},
            description = "Keep running afterwards and print a curl command to try")
    private boolean keep;

    @Option(
            name = {"--examples"},
            description = "Directory of the example configurations and prompt")
    private String examples = "examples";

    @Arguments(description = "File with the prompt; default: a long text of the examples")
    private String file;

    /**
     * Runs the tool and exits the JVM: 1 if the run fails, 2 for a usage error.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        LocalTool tool;
        try {
            tool = SingleCommand.singleCommand(LocalTool.class).parse(args);
        } catch (ParseException e) {
            System.err.println("run-local: " + e.getMessage());
            System.exit(EXIT_USAGE);
            return;
        }
        System.exit(tool.run());
    }

    private int run() {
        Path directory = Path.of(examples);
        Path prompt = file == null ? directory.resolve("coverage-review.txt") : Path.of(file);
        try {
            new LocalRun(directory, prompt, keep).run();
            return EXIT_OK;
        } catch (EndiveholdException e) {
            System.err.println("run-local: " + e.type().label() + ": " + e.getMessage());
            return EXIT_FAILED;
        }
    }
}
