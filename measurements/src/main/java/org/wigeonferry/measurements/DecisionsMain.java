package org.wigeonferry.measurements;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Measures the decisions against baselines and writes docs/MEASUREMENTS.md.
 *
 * <p>Runs on the main thread.
 */
public final class DecisionsMain {
    private DecisionsMain() {}

    /** Writes the page to the file named by the first argument. */
    public static void main(String[] arguments) throws Exception {
        CapacityPage page = new CapacityPage(template());
        StringBuilder costs = new StringBuilder();
        CostMixes.names().forEach(name -> costs.append(CostExperiment.rows(name)));
        page.put("costs", costs.toString());
        page.put("exposures", ExposureExperiment.rows());
        page.put("latencies", QueueingExperiment.rows());
        page.put("colds", ColdStartExperiment.rows());
        Files.writeString(Path.of(arguments[0]), page.text());
        System.out.println("wrote " + arguments[0]);
    }

    private static String template() throws Exception {
        try (var stream = DecisionsMain.class.getResourceAsStream("/measurements.md")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
