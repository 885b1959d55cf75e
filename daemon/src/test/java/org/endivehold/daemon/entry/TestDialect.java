package org.endivehold.daemon.entry;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.endivehold.relay.serve.AnswerFacts;
import org.endivehold.relay.serve.CallerRequestHead;
import org.endivehold.relay.serve.Dialect;
import org.endivehold.relay.serve.UpstreamHeaderValues;

/** Header names of a fleet in a test: only those that its callers and upstreams use. */
final class TestDialect implements Dialect {
    static final String ATTEMPT = "attempt";
    static final String REMAINING = "remaining";
    static final String PROMPT = "prompt";
    static final String SEAL = "seal";
    static final String LAST_EVENT = "last-event";

    @Override
    public CallerRequestHead parseRequest(MultiMap headers) {
        return new CallerRequestHead(
                headers.get(ATTEMPT),
                number(headers.get(REMAINING)),
                Optional.empty(),
                number(headers.get(PROMPT)).orElse(0),
                number(headers.get(PROMPT)).orElse(0),
                List.of(),
                number(headers.get(LAST_EVENT)));
    }

    @Override
    public void writeUpstreamHeaders(MultiMap headers, UpstreamHeaderValues values) {
        headers.set(REMAINING, Long.toString(values.remainingMillis()));
        if (values.resumeAfter().isPresent()) {
            headers.set(LAST_EVENT, Long.toString(values.resumeAfter().getAsLong()));
        }
    }

    @Override
    public AnswerFacts parseResponse(int status, MultiMap headers) {
        return new AnswerFacts(
                status,
                Optional.ofNullable(headers.get(ATTEMPT)),
                false,
                headers.contains(SEAL),
                false,
                Optional.empty(),
                Optional.empty(),
                new AnswerFacts.Announcements(false, OptionalDouble.empty(), OptionalDouble.empty()));
    }

    @Override
    public String readinessPath() {
        return "/ready";
    }

    private static OptionalLong number(String text) {
        return text == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text));
    }
}
