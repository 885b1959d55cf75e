package org.endivehold.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Explanation of one request from the daemons' logs: its outcome, each decision on it in words, log events about the
 * upstreams that it was sent to, concurrent requests on these upstreams, and events of its daemon, such as a lost
 * store.
 */
final class RequestExplanation {
    /** Time before and after the request within which log events are included, in milliseconds. */
    private static final long MARGIN_MILLIS = 5_000;
    /** Maximum number of concurrent requests that are shown for each upstream. */
    private static final int MAX_CONCURRENT_REQUESTS = 3;
    /** Maximum number of events of the request's daemon that are shown. */
    private static final int MAX_DAEMON_EVENTS = 12;

    private static final String ENDED_EVENT = "request-ended";
    private static final Pattern SENT_STEP =
            Pattern.compile("sent:([^:,]+)(?::predicted=(\\d+))?[^,]*?(?::at=(\\d+))?(?=,|$)");
    private static final Set<String> DAEMON_EVENTS = Set.of(
            "store-lost",
            "store-regained",
            "store-copy-taken",
            "zone-out",
            "zone-in",
            "configuration-in-force",
            "daemon-started",
            "daemon-stopping",
            "peer-lost",
            "paths-changed",
            "store-restored",
            "upstreams-lapsed",
            "evacuations-lapsed");
    private static final Map<String, String> STEP_DESCRIPTIONS = Map.ofEntries(
            Map.entry("unreached", "no connection to the upstream: it was not sent"),
            Map.entry("refused", "the upstream said that it did not run it"),
            Map.entry("failed", "the upstream ran it and failed"),
            Map.entry("broken", "the answer broke off"),
            Map.entry("partial", "the answer ended inside an event or before the first"),
            Map.entry("oversized", "bytes without end came instead of an answer: the connection was closed"),
            Map.entry("foreign", "the answer belonged to another request"),
            Map.entry("unsigned", "the answer was not the upstream's own"),
            Map.entry("silent", "nothing came, for this many milliseconds"),
            Map.entry("answer-after-head", "a whole answer with this status came in the middle of the stream"),
            Map.entry("end-before-head", "an attempt ended as complete of which nothing had been passed on"),
            Map.entry("out-of-order", "the ids of the events did not increase, so one of them is wrong"),
            Map.entry("not-resumed", "the answer did not show that it goes on where the stream had broken"),
            Map.entry("gap", "the resumed stream did not go on where it had broken"),
            Map.entry("not-reserved", "memory for a part of the context was refused"),
            Map.entry("paused", "no engine could get a request, the first again after this many milliseconds"),
            Map.entry("barred", "this engine was chosen, but may get no new work from this daemon; others were tried"),
            Map.entry(
                    "crashing",
                    "upstreams end when they serve requests with this part or repeats of this request: refused"),
            Map.entry("trial", "this part, or the request itself, is barred, and it was let through as a trial"),
            Map.entry("waited", "waited for engines, for this many milliseconds and this reason"),
            Map.entry("no-room", "no engine had room for as long as it could wait"),
            Map.entry("hopeless", "all engines together could not take it"),
            Map.entry("no-budget", "the share of the retry budget was spent"),
            Map.entry("no-sends", "it had been sent as often as it may"),
            Map.entry("timeout", "the route's timeout or the caller's deadline came"),
            Map.entry("request-broken", "the caller's request broke off"),
            Map.entry("cut-off", "this daemon reaches no upstream of the service, and no other daemon took it"),
            Map.entry("offered", "offered to this daemon, since its own does not reach the service"),
            Map.entry("declined", "that daemon did not take it, for this reason: it did not run there"),
            Map.entry("forwarded", "sent by way of this daemon; see its own log of the request"),
            Map.entry("returned", "that daemon could not have it run, for this reason"),
            Map.entry("lost", "the connection to that daemon ended or went silent: the outcome there is unknown"),
            Map.entry("from", "this daemon does not reach the service and sent it by way of this one"),
            Map.entry("version", "decided by this version of the configuration"),
            Map.entry("confirmed", "so many milliseconds ago that version was confirmed to be the newest"));

    private final List<LogLine> lines;
    private final String request;
    private final List<String> out = new ArrayList<>();

    RequestExplanation(List<LogLine> lines, String request) {
        this.lines = lines;
        this.request = request;
    }

    /** Returns the explanation as lines of text; empty if no log holds the end of the request. */
    List<String> text() {
        for (LogLine line : lines) {
            if (line.event().equals(ENDED_EVENT) && line.value("request").equals(request)) {
                explain(line);
            }
        }
        return out;
    }

    private void explain(LogLine line) {
        out.add(String.format(
                Locale.ROOT,
                "request %s in %s: status %s, %s after %d ms (first event %s ms, longest pause %s ms)",
                request,
                line.file(),
                line.value("status"),
                line.value("outcome"),
                line.number("ms"),
                line.value("first_ms"),
                line.value("gap_ms")));
        out.add("  route " + line.value("route") + ", customer " + line.value("customer") + ", prompt of "
                + line.value("prompt") + " tokens");
        Set<String> upstreams = new LinkedHashSet<>();
        for (String step : line.value("steps").split(",", -1)) {
            explainStep(step, upstreams);
        }
        upstreams.forEach(upstream -> explainUpstream(line, upstream));
        explainDaemon(line);
    }

    private void explainStep(String step, Set<String> upstreams) {
        Matcher sent = SENT_STEP.matcher(step);
        if (sent.matches()) {
            List<String> engines = List.of(sent.group(1).split("/", -1));
            upstreams.addAll(engines);
            String helpers = engines.size() > 1 ? ", read with " + (engines.size() - 1) + " others" : "";
            String predicted = sent.group(2) == null ? "" : ", first event predicted after " + sent.group(2) + " ms";
            String at = sent.group(3) == null ? "" : " at " + sent.group(3) + " ms";
            out.add("  sent to " + engines.get(0) + at + helpers + predicted);
        } else if (!step.isEmpty()) {
            String name = step.replaceAll(":.*", "");
            out.add("  " + step + ": " + STEP_DESCRIPTIONS.getOrDefault(name, "see docs/OPERATIONS.md"));
        }
    }

    private void explainUpstream(LogLine line, String upstream) {
        for (LogLine other : lines) {
            if (isNear(line, other) && other.value("upstream").equals(upstream)) {
                out.add("  " + upstream + ": " + other.event() + " " + offset(line, other) + " in " + other.file());
            }
        }
        List<LogLine> concurrent = lines.stream()
                .filter(other -> other.event().equals(ENDED_EVENT)
                        && !other.value("request").equals(request))
                .filter(other -> other.value("steps").contains(upstream))
                .filter(other -> other.startMillis() < line.atMillis() && other.atMillis() > line.startMillis())
                .sorted(Comparator.comparingLong((LogLine other) -> -other.number("prompt")))
                .toList();
        if (!concurrent.isEmpty()) {
            out.add("  " + upstream + ": " + concurrent.size() + " other requests at that time, the longest:");
        }
        concurrent.stream()
                .limit(MAX_CONCURRENT_REQUESTS)
                .forEach(other -> out.add("    " + other.value("request") + " of " + other.value("prompt")
                        + " tokens, status " + other.value("status") + ", first event " + other.value("first_ms")
                        + " ms"));
    }

    private void explainDaemon(LogLine line) {
        lines.stream()
                .filter(other -> other.file().equals(line.file()) && isNear(line, other))
                .filter(other -> DAEMON_EVENTS.contains(other.event()))
                .limit(MAX_DAEMON_EVENTS)
                .forEach(other -> out.add("  its daemon: " + other.event() + " " + offset(line, other)));
    }

    private static boolean isNear(LogLine line, LogLine other) {
        return other.atMillis() > line.startMillis() - MARGIN_MILLIS
                && other.atMillis() < line.atMillis() + MARGIN_MILLIS;
    }

    private static String offset(LogLine line, LogLine other) {
        long millis = other.atMillis() - line.startMillis();
        return millis < 0 ? -millis + " ms before the request" : millis + " ms into the request";
    }
}
