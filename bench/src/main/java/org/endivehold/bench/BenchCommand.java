package org.endivehold.bench;

import org.endivehold.error.EndiveholdException;

/** Base class of the {@link BenchTool} commands that set an exit code; a failed command exits with 3. */
public abstract class BenchCommand implements Runnable {
    private static final int EXIT_FAILED = 3;

    private int exitCode;

    /**
     * Executes the command.
     *
     * @return the exit code
     * @throws EndiveholdException if the command fails; its message goes to standard error
     */
    protected abstract int execute() throws EndiveholdException;

    @Override
    public void run() {
        try {
            exitCode = execute();
        } catch (EndiveholdException e) {
            System.err.println("endivehold-bench: " + e.getMessage());
            exitCode = EXIT_FAILED;
        }
    }

    int exitCode() {
        return exitCode;
    }
}
