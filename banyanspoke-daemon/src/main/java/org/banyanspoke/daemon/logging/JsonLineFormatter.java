package org.banyanspoke.daemon.logging;

import java.util.Map;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.formatters.JsonFormatter;

/** Writes one JSON object a line. Context fields such as job, team and zone are fields of that object. */
final class JsonLineFormatter extends JsonFormatter {
    private static final String PRODUCT_NAME = "banyanspoke";

    private final Map<String, String> hostFields;

    /**
     * @param hostFields fields of every line, such as host and zone
     */
    JsonLineFormatter(Map<String, String> hostFields) {
        super(Map.of(Key.MDC, "", Key.NDC, "", Key.LOGGER_CLASS_NAME, "", Key.PROCESS_NAME, ""));
        this.hostFields = Map.copyOf(hostFields);
        setRecordDelimiter("\n");
        setExceptionOutputType(ExceptionOutputType.FORMATTED);
    }

    @Override
    protected void after(Generator generator, ExtLogRecord record) throws Exception {
        generator.add("product", PRODUCT_NAME);
        for (Map.Entry<String, String> field : hostFields.entrySet()) {
            generator.add(field.getKey(), field.getValue());
        }
        for (Map.Entry<String, String> field : record.getMdcCopy().entrySet()) {
            generator.add(field.getKey(), field.getValue());
        }
    }
}
