package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.endivehold.relay.crash.RequestTrait;

/** Header names of the tests, shorter than those of the platform. */
final class TestHeaderCodec implements Dialect {
    @Override
    public CallerRequestHead parseRequest(MultiMap headers) {
        if (headers.contains("faulty")) {
            throw new IllegalStateException("a fault of this daemon");
        }
        return new CallerRequestHead(
                headers.get("attempt"),
                number(headers.get("remaining")),
                Optional.ofNullable(headers.get("key")),
                number(headers.get("prompt")).orElse(0),
                number(headers.get("output")).orElse(0),
                headers.contains("parts")
                        ? Stream.of(headers.get("parts").split(","))
                                .map(RequestTrait::promptPart)
                                .toList()
                        : List.of(),
                number(headers.get("last-event")));
    }

    @Override
    public void writeUpstreamHeaders(MultiMap headers, UpstreamHeaderValues values) {
        headers.remove("key");
        headers.set("target", values.upstreamId());
        headers.set("remaining", Long.toString(values.remainingMillis()));
        headers.remove("helpers");
        if (!values.helpers().isEmpty()) {
            headers.set("helpers", String.join(",", values.helpers()));
        }
        values.customer().ifPresent(name -> headers.set("customer", name));
        if (values.resumeAfter().isPresent()) {
            headers.set("last-event", Long.toString(values.resumeAfter().getAsLong()));
        }
    }

    @Override
    public AnswerFacts parseResponse(int status, MultiMap headers) {
        return new AnswerFacts(
                status,
                Optional.ofNullable(headers.get("attempt")),
                headers.contains("not-run"),
                headers.contains("signature"),
                headers.contains("content-encoding"),
                Optional.empty(),
                Optional.ofNullable(headers.get("fault")),
                new AnswerFacts.Announcements(
                        headers.contains("leaving"), decimal(headers.get("pause-ms")), decimal(headers.get("limit"))));
    }

    @Override
    public String readinessPath() {
        return "/ready";
    }

    private static OptionalDouble decimal(String text) {
        return text == null ? OptionalDouble.empty() : OptionalDouble.of(Double.parseDouble(text));
    }

    private static OptionalLong number(String text) {
        return text == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text));
    }
}
