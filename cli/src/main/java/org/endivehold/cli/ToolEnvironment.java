package org.endivehold.cli;

import java.io.PrintStream;
import java.util.Map;

/**
 * What the tool gets from its surroundings.
 *
 * @param out takes results
 * @param err takes errors
 * @param variables environment variables
 */
record ToolEnvironment(PrintStream out, PrintStream err, Map<String, String> variables) {
    String variable(String name, String absent) {
        String value = variables.get(name);
        return value == null || value.isBlank() ? absent : value;
    }
}
