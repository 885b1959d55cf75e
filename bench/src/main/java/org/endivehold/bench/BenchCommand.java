package org.endivehold.bench;

import org.endivehold.error.EndiveholdException;

/** A command of {@link BenchTool} with an exit code. */
public abstract class BenchCommand implements Runnable {
    private static final int EXIT_FAILED = 3;

    private int exitCode;

    /**
     * Carries out the command.
     *
     * @return the exit code
     * @throws EndiveholdException if it cannot be carried out
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
