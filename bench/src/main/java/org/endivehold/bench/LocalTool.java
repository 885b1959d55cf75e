package org.endivehold.bench;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.nio.file.Path;
import org.endivehold.error.EndiveholdException;

/** {@code run-local [--keep] [FILE]}: a small fleet in one JVM, and one prompt through it. */
@Command(name = "run-local", description = "Runs a small fleet on loopback and sends one prompt through it")
public final class LocalTool {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Option(
            name = {"--keep"},
            description = "Stay up afterwards and print a curl line to try")
    private boolean keep;

    @Option(
            name = {"--examples"},
            description = "Folder of the example configurations and prompt")
    private String examples = "examples";

    @Arguments(description = "File with the prompt; default a long text of the examples")
    private String file;

    /**
     * Runs the tool.
     *
     * @param args the command line
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
        Path folder = Path.of(examples);
        Path prompt = file == null ? folder.resolve("coverage-review.txt") : Path.of(file);
        try {
            new LocalRun(folder, prompt, keep).run();
            return EXIT_OK;
        } catch (EndiveholdException e) {
            System.err.println("run-local: " + e.type().word() + ": " + e.getMessage());
            return EXIT_FAILED;
        }
    }
}
