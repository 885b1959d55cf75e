package org.endivehold.daemon.upstream;

import org.endivehold.daemon.DaemonContext;
import org.endivehold.http.InvalidAnswerException;
import org.jboss.logging.Logger;

/** Logs and counts attempts that failed because the answer of the upstream was invalid. */
public final class InvalidAnswers {
    private static final Logger log = Logger.getLogger(InvalidAnswers.class);

    private InvalidAnswers() {}

    /**
     * Reports a failure if an invalid answer caused it.
     *
     * @param context has the metrics
     * @param request id of the request, or of its stream
     * @param upstream what sent the answer
     * @param failure failure of the attempt
     */
    public static void report(DaemonContext context, Object request, Object upstream, Throwable failure) {
        InvalidAnswerException.find(failure).ifPresent(invalid -> {
            invalid.event(request, upstream).warn(log);
            context.meters()
                    .counter(
                            "endivehold.invalid.answers", "part", invalid.part().label())
                    .increment();
        });
    }
}
