package org.endivehold.cli;

import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;

/** A failure with a complete message and a hint on what the operator should do next. */
final class ToolFailure extends EndiveholdException {
    private static final long serialVersionUID = 1L;

    private final String detail;
    private final String next;

    ToolFailure(ErrorType type, String detail, String next) {
        super(RunOutcome.NO, type, "", "", "");
        this.detail = detail;
        this.next = next;
    }

    @Override
    public String getMessage() {
        return detail;
    }

    /** Returns the hint; empty if there is none. */
    String next() {
        return next;
    }
}
