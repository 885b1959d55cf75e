package org.endivehold.bench.start;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.endivehold.adapter.StoreEntries;
import org.endivehold.error.EndiveholdException;
import org.endivehold.relay.route.RoutingTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StartReportTest {
    private static final double TOLERANCE = 1e-9;
    private static final Path SYSTEM = Path.of("..", "deploy", "system.toml");

    /** Guards against percentiles that take a neighbouring rank. */
    @Test
    void reportsNearestRanks() {
        List<StartSample> samples =
                IntStream.rangeClosed(1, 20).mapToObj(StartReportTest::sample).toList();
        StartReport report = StartReport.of(RunLine.of("java"), 1, 0, samples, List.of(2L, 1L));
        StartReport.Figure first = report.figures().get(2);
        assertEquals(1, first.min(), TOLERANCE);
        assertEquals(10, first.median(), TOLERANCE);
        assertEquals(19, first.p95(), TOLERANCE);
    }

    /** Guards against further options that come behind {@code -jar}, where they would be arguments of the daemon. */
    @Test
    void putsFurtherOptionsBeforeTheJar() {
        assertEquals(
                List.of("java", "-Xmx1m", "-Xint", "-jar", "a.jar"),
                RunLine.of("java -Xmx1m  -jar a.jar").with("-Xint").words());
    }

    /** Guards against a run line that the command no longer finds after a change of the file. */
    @Test
    void findsTheRunLineOfTheDeployment() throws EndiveholdException {
        assertTrue(RunLine.read(SYSTEM).words().contains("target/endiveholdd.jar"));
    }

    /** Guards against a configuration that differs from the one that the goal is stated for. */
    @Test
    void decodesTheConfiguration() throws EndiveholdException {
        String document = StartConfiguration.document(249);
        RoutingTable table = new StoreEntries().configuration(Buffer.buffer(document));
        assertEquals(249, table.size());
        assertTrue(table.route("warm-up", "/plain/x").isPresent());
        assertTrue(document.length() > 40_000 && document.length() < 60_000, () -> "length " + document.length());
    }

    /** Guards against CPU time that leaves out all threads but the first. */
    @Test
    void addsTheCpuTimeOfAllThreads(@TempDir Path process) throws IOException, EndiveholdException {
        for (String thread : List.of("1", "2")) {
            Path directory = Files.createDirectories(process.resolve("task").resolve(thread));
            Files.writeString(directory.resolve("schedstat"), thread + "000000 5 6\n");
        }
        Files.writeString(process.resolve("status"), "Name:\tjava\nVmHWM:\t    2048 kB\n");
        assertEquals(3, new ProcessFigures(process).cpuMillis(), TOLERANCE);
        assertEquals(2, new ProcessFigures(process).peakMegabytes(), TOLERANCE);
    }

    private static StartSample sample(int millis) {
        StartSample.Mark mark = new StartSample.Mark(millis, millis);
        return new StartSample(mark, mark, mark, 1);
    }
}
