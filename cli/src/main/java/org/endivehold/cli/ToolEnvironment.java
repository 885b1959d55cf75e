package org.endivehold.cli;

import java.io.PrintStream;
import java.util.Map;

/**
 * Output streams and environment variables of a run of the tool.
 *
 * @param out stream for results
 * @param err stream for errors
 * @param variables environment variables
 */
record ToolEnvironment(PrintStream out, PrintStream err, Map<String, String> variables) {
    /** Returns the value of a variable, or the default if it is unset or blank. */
    String variable(String name, String defaultValue) {
        String value = variables.get(name);
        return value == null || value.isBlank() ? defaultValue : value;
    }
}
