package org.endivehold.bench.start;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Draws the CPU times of a series of starts, each series sorted. */
public final class StartChart {
    private static final int WIDTH = 800;
    private static final int HEIGHT = 450;

    private StartChart() {}

    /**
     * Draws the chart.
     *
     * @param file the PNG file; its directory exists
     * @param samples the starts
     * @throws EndiveholdException of type {@code INTERNAL} if the file cannot be written
     */
    public static void write(Path file, List<StartSample> samples) throws EndiveholdException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("CPU time from process start")
                .xAxisTitle("starts, sorted")
                .yAxisTitle("ms")
                .build();
        add(chart, "ports open", samples, s -> s.portsOpen().cpuMillis());
        add(chart, "configured", samples, s -> s.configured().cpuMillis());
        add(chart, "first response", samples, s -> s.answered().cpuMillis());
        try {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.INTERNAL, "cannot write " + file).causedBy(e);
        }
    }

    private static void add(
            XYChart chart, String name, List<StartSample> samples, ToDoubleFunction<StartSample> value) {
        double[] sorted = samples.stream().mapToDouble(value).sorted().toArray();
        double[] ranks =
                IntStream.rangeClosed(1, sorted.length).asDoubleStream().toArray();
        chart.addSeries(name, ranks, sorted);
    }
}
