package org.endivehold.upstream;

import java.util.concurrent.CompletionStage;

/** Client interface to one plain service, that is, an HTTP service that is not a model engine. */
public interface PlainService {
    /**
     * Sends a call to the service.
     *
     * @param call the call
     * @return the answer, with any HTTP status; fails with {@code UPSTREAM_UNREACHABLE} and run outcome {@code NO} only
     *     if no byte was sent, and with run outcome {@code UNKNOWN} otherwise
     */
    CompletionStage<PlainAnswer> call(PlainCall call);

    /**
     * Reads the load report, which may be outdated; see {@link PlainLoad#ageMillis}.
     *
     * @return the latest report
     */
    CompletionStage<PlainLoad> loadReport();
}
