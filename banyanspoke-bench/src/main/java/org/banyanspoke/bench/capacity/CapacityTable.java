package org.banyanspoke.bench.capacity;

import java.util.List;
import java.util.Locale;

/** Formats measured points and their linear fits as Markdown. */
public final class CapacityTable {
    private final List<CapacityPoint> points;

    /** @param points at least one point, all of the same dimension */
    public CapacityTable(List<CapacityPoint> points) {
        this.points = List.copyOf(points);
    }

    /** Returns the Markdown text: per figure a row of its values, the fit and the prediction at the design size. */
    public String toMarkdown() {
        Dimension over = points.get(0).over();
        String name = over.name().toLowerCase(Locale.ROOT);
        StringBuilder text = new StringBuilder("| figure |");
        points.forEach(point ->
                text.append(' ').append(name).append(' ').append(point.value()).append(" |"));
        text.append(" fit | r2 | at ").append(over.designValue()).append(" |\n|---|");
        text.append("---|".repeat(points.size() + 3)).append('\n');
        LinearFit.of(points).forEach(fit -> writeRow(fit, text));
        text.append("\nLoad average after each point:");
        points.forEach(point -> text.append(String.format(Locale.ROOT, " %.1f", point.loadAverage())));
        return text.append('\n').toString();
    }

    private void writeRow(LinearFit fit, StringBuilder text) {
        text.append("| `").append(fit.figure()).append("` |");
        for (CapacityPoint point : points) {
            Double value = point.figures().get(fit.figure());
            text.append(' ').append(value == null ? "-" : number(value)).append(" |");
        }
        text.append(' ').append(number(fit.intercept())).append(" + ").append(number(fit.slope()));
        text.append(" x | ").append(number(fit.rSquare())).append(" | ");
        text.append(number(fit.atDesignSize())).append(" |\n");
    }

    /** Formats a number with four significant digits. */
    private static String number(double value) {
        return String.format(Locale.ROOT, "%.4g", value);
    }
}
