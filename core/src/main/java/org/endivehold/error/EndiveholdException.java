package org.endivehold.error;

/** The one checked exception of the system; its {@link ErrorType} says what failed. */
public class EndiveholdException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorType type;
    private final RunOutcome run;

    /**
     * Creates a failure of a call that ran nothing.
     *
     * @param type what failed
     * @param args values for the message template
     */
    public EndiveholdException(ErrorType type, Object... args) {
        this(RunOutcome.NO, type, args);
    }

    /**
     * Creates a failure.
     *
     * @param run what is known about the execution of the request
     * @param type what failed
     * @param args values for the message template
     */
    public EndiveholdException(RunOutcome run, ErrorType type, Object... args) {
        super(type.message(args));
        this.type = type;
        this.run = run;
    }

    /**
     * Returns what failed.
     *
     * @return the error type
     */
    public ErrorType type() {
        return type;
    }

    /**
     * Returns what is known about the execution of the request.
     *
     * @return the run outcome
     */
    public RunOutcome run() {
        return run;
    }

    /**
     * Adds a cause.
     *
     * @param cause the cause, may be null
     * @return this exception
     */
    public EndiveholdException causedBy(Throwable cause) {
        if (cause != null && getCause() == null) {
            initCause(cause);
        }
        return this;
    }

    /**
     * Finds the typed failure in a chain of causes.
     *
     * @param failure any failure, such as a {@code CompletionException}
     * @return the first typed failure in the chain, or one of type {@link ErrorType#INTERNAL}
     */
    public static EndiveholdException unwrap(Throwable failure) {
        for (Throwable t = failure; t != null; t = t.getCause()) {
            if (t instanceof EndiveholdException e) {
                return e;
            }
        }
        return new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.INTERNAL, String.valueOf(failure))
                .causedBy(failure);
    }
}
