package org.endivehold.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Base of the tool's commands, with the options that all of them share. */
abstract class OperatorCommand {
    static final String DAEMON_VARIABLE = "ENDIVEHOLD_DAEMON";
    static final String TOKEN_VARIABLE = "ENDIVEHOLD_TOKEN_FILE";
    private static final Pattern TOKEN = Pattern.compile("[!-~]+");
    private static final String DEFAULT_DAEMON = "http://127.0.0.1:8081";

    @Option(
            name = "--daemon",
            type = OptionType.GLOBAL,
            title = "URL",
            description = "Operators' port of a daemon; may be given more than once, tried in turn. Default: the comma"
                    + " separated list in ENDIVEHOLD_DAEMON, or http://127.0.0.1:8081")
    private List<String> daemons = new ArrayList<>();

    @Option(
            name = "--token-file",
            type = OptionType.GLOBAL,
            title = "FILE",
            description = "File with the operators' token. Default: the file named by ENDIVEHOLD_TOKEN_FILE")
    private String tokenFile = "";

    @Option(name = "--json", type = OptionType.GLOBAL, description = "Print results as JSON, for scripts")
    private boolean json;

    private ToolEnvironment environment;

    /** Runs the command, prints a failure to the error stream and returns the exit code. */
    final ExitCode execute(ToolEnvironment toolEnvironment) {
        environment = toolEnvironment;
        try {
            return run();
        } catch (EndiveholdException e) {
            environment.err().println("endivehold: " + e.getMessage());
            if (e instanceof ToolFailure failure && !failure.next().isEmpty()) {
                environment.err().println("next: " + failure.next());
            }
            return ExitCode.of(e.type());
        }
    }

    /** Runs the command and prints its result. */
    abstract ExitCode run() throws EndiveholdException;

    boolean json() {
        return json;
    }

    ToolEnvironment environment() {
        return environment;
    }

    void print(String line) {
        environment.out().println(line);
    }

    /** Prints a document if {@code --json} was given; returns whether it was. */
    boolean printIfJson(JsonObject document) {
        if (json) {
            print(document.encodePrettily());
        }
        return json;
    }

    /** Creates a client for the daemons of the command line, of ENDIVEHOLD_DAEMON or of the default, in this order. */
    DaemonClient client() throws EndiveholdException {
        List<String> urls = new ArrayList<>(daemons);
        if (urls.isEmpty()) {
            String variable = environment.variable(DAEMON_VARIABLE, DEFAULT_DAEMON);
            Arrays.stream(variable.split(",", -1)).map(String::strip).forEach(urls::add);
        }
        urls.replaceAll(url -> url.endsWith("/") ? url.substring(0, url.length() - 1) : url);
        return new DaemonClient(urls, token());
    }

    private String token() throws EndiveholdException {
        String file = tokenFile.isEmpty() ? environment.variable(TOKEN_VARIABLE, "") : tokenFile;
        if (file.isEmpty()) {
            throw new ToolFailure(
                    ErrorType.OPERATOR_UNAUTHENTICATED,
                    "no token file is named",
                    "give the file with the operators' token with --token-file or ENDIVEHOLD_TOKEN_FILE");
        }
        try {
            String token = Files.readString(Path.of(file)).strip();
            if (TOKEN.matcher(token).matches()) {
                return token;
            }
            throw new ToolFailure(
                    ErrorType.OPERATOR_UNAUTHENTICATED,
                    "the file " + file + " holds no token",
                    "name a file with one line of printable characters without spaces");
        } catch (IOException e) {
            throw new ToolFailure(
                    ErrorType.OPERATOR_UNAUTHENTICATED,
                    "the token file " + file + " cannot be read",
                    "check the path and its permissions");
        }
    }
}
