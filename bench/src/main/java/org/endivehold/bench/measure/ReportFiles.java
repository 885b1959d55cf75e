package org.endivehold.bench.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.bench.workload.LengthBand;
import org.endivehold.bench.workload.Phase;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Writes reports as JSON files and PNG charts. */
public final class ReportFiles {
    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final int WIDTH = 800;
    private static final int HEIGHT = 450;

    private ReportFiles() {}

    /**
     * Writes a report as indented JSON and creates its directory if needed.
     *
     * @param file the JSON file
     * @param report a record, written under its component names
     * @throws EndiveholdException of type {@code INTERNAL} if the file cannot be written
     */
    public static void writeJson(Path file, Object report) throws EndiveholdException {
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            MAPPER.writeValue(file.toFile(), report);
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.INTERNAL, "cannot write " + file).causedBy(e);
        }
    }

    /**
     * Draws the 95th percentile of the time to first token by prompt length and policy.
     *
     * @param file the PNG file
     * @param report the report
     * @throws EndiveholdException of type {@code INTERNAL} if the file cannot be written
     */
    public static void writeChart(Path file, ExperimentReport report) throws EndiveholdException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(report.experiment() + " at " + report.size() + ": p95 time to first token")
                .xAxisTitle("prompt tokens, middle of the band")
                .yAxisTitle("ms")
                .build();
        chart.getStyler().setXAxisLogarithmic(true).setYAxisLogarithmic(true);
        for (PolicyReport policy : report.policies()) {
            add(chart, policy, phase(policy));
        }
        try {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.INTERNAL, "cannot write " + file).causedBy(e);
        }
    }

    private static String phase(PolicyReport policy) {
        return policy.phase(Phase.SURGE).isPresent() ? Phase.SURGE : "out";
    }

    private static void add(XYChart chart, PolicyReport policy, String phase) {
        List<Double> tokens = new ArrayList<>();
        List<Double> values = new ArrayList<>();
        for (LengthBand band : LengthBand.values()) {
            policy.band(phase, band).ifPresent(figures -> {
                tokens.add(band.middleTokens());
                values.add(Math.max(1, figures.p95()));
            });
        }
        if (!tokens.isEmpty()) {
            chart.addSeries(policy.policy() + " (" + phase + ")", tokens, values);
        }
    }
}
