package org.endivehold.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {
    private static final String TIME = "12.3 host-a time=2026-12-04T01:00:%s.000Z level=INFO logger=X ";

    @TempDir
    private Path folder;

    private String ended(String second, String request, int prompt, int millis, String rest) {
        return String.format(TIME, second) + "event=request-ended request=" + request + " route=r customer=c prompt="
                + prompt + " first_ms=-1 gap_ms=0 ms=" + millis + " " + rest;
    }

    private String run(ExitCode expected, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        assertEquals(expected, OperatorTool.run(args, stream, stream, Map.of()));
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void explainsARequestThatTimedOutBehindALongPrompt() throws Exception {
        Path first = folder.resolve("a.log");
        Path second = folder.resolve("b.log");
        Files.write(
                first,
                List.of(
                        String.format(TIME, "08") + "event=store-lost prefix=op/ revision=3 reason=\"no answer\"",
                        ended(
                                "20",
                                "slow",
                                5_000,
                                10_000,
                                "status=504 outcome=deadline-exceeded"
                                        + " steps=\"sent:e-1/e-2:predicted=90:cost=0.1:at=2,silent:3000,timeout\"")));
        Files.write(
                second,
                List.of(
                        "not a line of a daemon",
                        String.format(TIME, "15") + "event=upstream-vanished upstream=e-1 kept=false",
                        ended("18", "long", 500_000, 7_000, "status=200 outcome=complete steps=sent:e-1:predicted=1")));
        String text = run(ExitCode.OK, "explain", "slow", "--logs", first.toString(), "--logs", second.toString());
        assertTrue(text.contains("status 504, deadline-exceeded after 10000 ms"), text);
        assertTrue(text.contains("sent to e-1 at 2 ms, read with 1 others, first event predicted after 90 ms"), text);
        assertTrue(text.contains("silent:3000: nothing came"), text);
        assertTrue(text.contains("e-1: upstream-vanished 5000 ms into the request"), text);
        assertTrue(text.contains("long of 500000 tokens"), text);
        assertTrue(text.contains("its daemon: store-lost 2000 ms before the request"), text);
    }

    @Test
    void reportsThatNoLogNamesTheRequest() throws Exception {
        Path log = Files.write(folder.resolve("a.log"), List.of());
        assertTrue(
                run(ExitCode.FAULTS, "explain", "x", "--logs", log.toString()).contains("no log names"));
    }

    @Test
    void failsOnALogThatCannotBeRead() {
        String text = run(
                ExitCode.FAULTS,
                "explain",
                "x",
                "--logs",
                folder.resolve("none").toString());
        assertTrue(text.contains("cannot be read"), text);
    }
}
