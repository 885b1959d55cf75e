package org.endivehold.error;

/** The only checked exception of this project; its {@link ErrorType} identifies the failure. */
public class EndiveholdException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorType type;
    private final RunOutcome run;

    /**
     * Creates a failure of a call of which no part ran, with run outcome {@link RunOutcome#NO}.
     *
     * @param type kind of failure
     * @param args values for the message template of the type, in order
     */
    public EndiveholdException(ErrorType type, Object... args) {
        this(RunOutcome.NO, type, args);
    }

    /**
     * Creates a failure.
     *
     * @param run what is known about the execution of the request
     * @param type kind of failure
     * @param args values for the message template of the type, in order
     */
    public EndiveholdException(RunOutcome run, ErrorType type, Object... args) {
        super(type.message(args));
        this.type = type;
        this.run = run;
    }

    /**
     * Returns the kind of failure.
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
     * Sets the cause, unless there is one already.
     *
     * @param cause the cause; null has no effect
     * @return this exception
     */
    public EndiveholdException causedBy(Throwable cause) {
        if (cause != null && getCause() == null) {
            initCause(cause);
        }
        return this;
    }

    /**
     * Finds the first typed failure in a chain of causes.
     *
     * @param failure any failure, such as a {@code CompletionException}
     * @return the typed failure, or if there is none a new one of type {@link ErrorType#INTERNAL}, with unknown run
     *     outcome
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
