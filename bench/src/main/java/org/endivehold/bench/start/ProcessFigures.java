package org.endivehold.bench.start;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Reads what a process has used so far from Linux's process file system. */
final class ProcessFigures {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double KB_PER_MB = 1_024;
    private static final String PEAK = "VmHWM:";

    private final Path directory;

    ProcessFigures(long pid) {
        this(Path.of("/proc", Long.toString(pid)));
    }

    ProcessFigures(Path directory) {
        this.directory = directory;
    }

    /**
     * Returns the CPU time of all threads that are alive, in milliseconds. The statistics of the scheduler count
     * nanoseconds, those in {@code /proc/PID/stat} hundredths of a second.
     */
    double cpuMillis() throws EndiveholdException {
        try (Stream<Path> threads = Files.list(directory.resolve("task"))) {
            return threads.mapToLong(ProcessFigures::cpuNanos).sum() / NANOS_PER_MILLI;
        } catch (IOException | UncheckedIOException e) {
            throw failure(e);
        }
    }

    /** Returns the largest amount of memory that the process has had resident, in megabytes. */
    double peakMegabytes() throws EndiveholdException {
        try {
            List<String> lines = Files.readAllLines(directory.resolve("status"));
            String peak = lines.stream()
                    .filter(line -> line.startsWith(PEAK))
                    .findFirst()
                    .orElseThrow(() -> new IOException("no line " + PEAK));
            return Long.parseLong(peak.replaceAll("[^0-9]", "")) / KB_PER_MB;
        } catch (IOException e) {
            throw failure(e);
        }
    }

    private static long cpuNanos(Path thread) {
        try {
            String figures = Files.readString(thread.resolve("schedstat"));
            return Long.parseLong(figures.substring(0, figures.indexOf(' ')));
        } catch (NoSuchFileException e) {
            // The thread has ended since the directory was listed.
            return 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private EndiveholdException failure(Exception cause) {
        return new EndiveholdException(ErrorType.INTERNAL, "cannot read " + directory + ": " + cause.getMessage())
                .causedBy(cause);
    }
}
