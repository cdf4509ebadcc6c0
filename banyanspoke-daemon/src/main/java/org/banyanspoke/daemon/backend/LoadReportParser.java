package org.banyanspoke.daemon.backend;

import com.google.common.base.Splitter;
import java.util.Map;
import org.banyanspoke.core.dispatch.LoadReport;

/** Parses the header {@code endpoint-load-metrics} in the ORCA text format. */
final class LoadReportParser {
    static final String HEADER = "endpoint-load-metrics";

    private static final String TEXT_PREFIX = "TEXT ";
    private static final String METRIC_PREFIX = "named_metrics.";
    private static final Splitter.MapSplitter FIELDS =
            Splitter.on(',').trimResults().omitEmptyStrings().withKeyValueSeparator('=');

    private LoadReportParser() {}

    /** Returns the report, or null if the header is absent or malformed or lacks one of the three metrics. */
    static LoadReport parse(String header) {
        if (header == null || !header.startsWith(TEXT_PREFIX)) {
            return null;
        }
        try {
            Map<String, String> fields = FIELDS.split(header.substring(TEXT_PREFIX.length()));
            return new LoadReport(count(fields, "running"), count(fields, "queued"), count(fields, "slots"));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Returns a metric as an integer: ORCA metrics are floating-point numbers, but these three are counts. */
    private static int count(Map<String, String> fields, String metric) {
        String text = fields.get(METRIC_PREFIX + metric);
        if (text == null) {
            throw new IllegalArgumentException("missing metric " + metric);
        }
        double value = Double.parseDouble(text);
        if (!(value >= 0 && value <= Integer.MAX_VALUE)) {
            throw new IllegalArgumentException(metric + "=" + text);
        }
        return (int) value;
    }
}
