package org.endivehold.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a summary that hides who pays for a shortage of engines. */
class RequestsCommandTest {
    @TempDir
    private Path folder;

    private static String ended(String customer, String route, int prompt, String rest) {
        return "time=2026-12-04T01:00:00.000Z level=INFO logger=X event=request-ended request=r route=" + route
                + " customer=" + customer + " prompt=" + prompt + " ms=900 " + rest;
    }

    private List<String> run(ExitCode expected, String key, List<String> lines) throws Exception {
        Path log = Files.write(folder.resolve("a.log"), lines);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        String[] args = {"requests", "--by", key, "--logs", log.toString()};
        assertEquals(expected, OperatorTool.run(args, stream, stream, Map.of()));
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private static List<String> words(String row) {
        return List.of(row.strip().split(" +"));
    }

    @Test
    void showsWhoAskedForMostAndWhoseRequestsWereRefused() throws Exception {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            lines.add(
                    ended("large", "long", 200_000, "status=200 outcome=complete first_ms=" + (100 + i) + " gap_ms=4"));
        }
        lines.add(ended("small", "long", 200_000, "status=503 outcome=no-upstream first_ms=-1 gap_ms=0"));
        lines.add(ended("small", "plain", 0, "status=504 outcome=deadline-exceeded first_ms=-1 gap_ms=0"));
        lines.add(ended("small", "short", 0, "status=0 outcome=caller-gone first_ms=-1 gap_ms=0"));
        lines.add(ended("-", "-", 0, "status=404 outcome=unknown-route first_ms=-1 gap_ms=0"));
        List<String> table = run(ExitCode.OK, "customer", lines);
        assertEquals(List.of("large", "3", "3", "0", "0", "0", "75.0", "100.0", "101", "102"), words(table.get(1)));
        assertEquals(List.of("small", "3", "0", "1", "1", "1", "25.0", "0.0", "-", "-"), words(table.get(2)));
        assertEquals(3, table.size());
    }

    @Test
    void groupsByTheLengthOfThePrompt() throws Exception {
        List<String> lines = List.of(
                ended("c", "r", 4_000, "status=200 outcome=complete first_ms=90 gap_ms=4"),
                ended("c", "r", 4_001, "status=200 outcome=broken first_ms=90 gap_ms=4"),
                ended("c", "r", 500_000, "status=200 outcome=complete first_ms=90 gap_ms=4"));
        String table = String.join("\n", run(ExitCode.OK, "length", lines));
        assertTrue(table.contains("up to 4k tokens"), table);
        assertTrue(table.contains("up to 16k tokens"), table);
        assertTrue(table.contains("over 100k tokens"), table);
    }

    @Test
    void saysThatALogHoldsNoRequest() throws Exception {
        assertEquals(List.of("no log holds a request"), run(ExitCode.FAULTS, "route", List.of("not a log line")));
    }
}
