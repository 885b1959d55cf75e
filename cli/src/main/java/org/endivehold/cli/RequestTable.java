package org.endivehold.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * What became of the requests in the daemons' logs, by customer, route, length of the prompt or daemon: how much of the
 * work each asked for and got, and how long it waited.
 */
final class RequestTable {
    /** Upper limits of the bands of prompt lengths, in tokens; the last band has none. */
    private static final long[] LENGTH_LIMITS = {4_000, 16_000, 100_000};

    private static final double MEDIAN = 0.5;
    private static final double HIGH_PERCENTILE = 0.95;

    private static final String HEADER = String.format(
            Locale.ROOT,
            "%-24s %8s %7s %7s %7s %6s %8s %8s %9s %9s",
            "",
            "requests",
            "served",
            "refused",
            "failed",
            "gone",
            "asked %",
            "got %",
            "first p50",
            "first p95");

    /** By what the requests are grouped. */
    enum Key {
        CUSTOMER,
        ROUTE,
        LENGTH,
        DAEMON;

        private String group(LogLine line) {
            return switch (this) {
                case CUSTOMER -> line.value("customer");
                case ROUTE -> line.value("route");
                case LENGTH -> band(line.number("prompt"));
                case DAEMON -> line.file();
            };
        }
    }

    /** What a request came to, as its status tells. */
    private enum Result {
        SERVED,
        REFUSED,
        FAILED,
        CALLER_GONE;

        static Result of(LogLine line) {
            long status = line.number("status");
            if (status == 0) {
                return CALLER_GONE;
            } else if (status == 503 || status == 429) {
                return REFUSED;
            }
            boolean streamBroken =
                    line.number("first_ms") >= 0 && !line.value("outcome").equals("complete");
            return status / 100 == 2 && !streamBroken ? SERVED : FAILED;
        }
    }

    private final Map<String, List<LogLine>> groups = new TreeMap<>();
    private final long askedTokens;
    private final long servedTokens;

    /** Creates the table of the requests that ended, according to the lines; requests without a route are left out. */
    RequestTable(List<LogLine> lines, Key key) {
        List<LogLine> ended = lines.stream()
                .filter(line -> line.event().equals("request-ended"))
                .filter(line -> !line.value("route").equals("-"))
                .toList();
        ended.forEach(line -> groups.computeIfAbsent(key.group(line), group -> new ArrayList<>())
                .add(line));
        askedTokens = tokens(ended);
        servedTokens = tokens(served(ended));
    }

    /** Returns the table as lines of text, the group that asked for most first; empty without requests. */
    List<String> text() {
        List<String> text = new ArrayList<>();
        if (!groups.isEmpty()) {
            text.add(HEADER);
        }
        groups.entrySet().stream()
                .sorted(Comparator.comparingLong((Map.Entry<String, List<LogLine>> group) -> -tokens(group.getValue())))
                .forEach(group -> text.add(row(group.getKey(), group.getValue())));
        return text;
    }

    private String row(String group, List<LogLine> requests) {
        List<LogLine> served = served(requests);
        long[] firstMillis = requests.stream()
                .mapToLong(line -> line.number("first_ms"))
                .filter(millis -> millis >= 0)
                .sorted()
                .toArray();
        return String.format(
                Locale.ROOT,
                "%-24s %8d %7d %7d %7d %6d %8.1f %8.1f %9s %9s",
                group,
                requests.size(),
                served.size(),
                count(requests, Result.REFUSED),
                count(requests, Result.FAILED),
                count(requests, Result.CALLER_GONE),
                percent(tokens(requests), askedTokens),
                percent(tokens(served), servedTokens),
                percentile(firstMillis, MEDIAN),
                percentile(firstMillis, HIGH_PERCENTILE));
    }

    private static List<LogLine> served(List<LogLine> requests) {
        return requests.stream()
                .filter(line -> Result.of(line) == Result.SERVED)
                .toList();
    }

    private static long count(List<LogLine> requests, Result result) {
        return requests.stream().filter(line -> Result.of(line) == result).count();
    }

    /** Returns the work of requests: the tokens of their prompts, and one for a request without a prompt. */
    private static long tokens(List<LogLine> requests) {
        ToLongFunction<LogLine> work = line -> Math.max(1, line.number("prompt"));
        return requests.stream().mapToLong(work).sum();
    }

    private static double percent(long part, long whole) {
        return whole == 0 ? 0 : 100.0 * part / whole;
    }

    private static String percentile(long[] sorted, double share) {
        if (sorted.length == 0) {
            return "-";
        }
        int index = (int) Math.ceil(share * sorted.length) - 1;
        return Long.toString(sorted[Math.max(0, index)]);
    }

    private static String band(long tokens) {
        if (tokens == 0) {
            return "no prompt";
        }
        int index = Arrays.binarySearch(LENGTH_LIMITS, tokens);
        int band = index < 0 ? -index - 1 : index;
        return band < LENGTH_LIMITS.length
                ? "up to " + LENGTH_LIMITS[band] / 1_000 + "k tokens"
                : "over " + LENGTH_LIMITS[band - 1] / 1_000 + "k tokens";
    }
}
