package org.banyanspoke.daemon.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.base.Throwables;
import java.util.LinkedHashMap;
import java.util.Map;
import org.banyanspoke.api.json.Json;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;

/**
 * Formats each log record as a JSON object on one line, with MDC entries such as job and team as top-level fields. The
 * JSON formatter of JBoss LogManager nests them and always adds the class name and the command line, which operators do
 * not need.
 */
final class JsonLineFormatter extends ExtFormatter {
    private final Map<String, String> commonFields;

    /**
     * @param commonFields fields added to every line, such as host and zone
     */
    JsonLineFormatter(Map<String, String> commonFields) {
        this.commonFields = Map.copyOf(commonFields);
    }

    @Override
    public String format(ExtLogRecord record) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("time", record.getInstant().toString());
        line.put("level", record.getLevel().getName());
        line.put("logger", record.getLoggerName());
        line.put("thread", record.getThreadName());
        line.put("message", formatMessage(record));
        line.putAll(commonFields);
        record.getMdcCopy().forEach(line::putIfAbsent);
        if (record.getThrown() != null) {
            line.put("exception", Throwables.getStackTraceAsString(record.getThrown()));
        }
        return write(line);
    }

    private static String write(Map<String, Object> line) {
        try {
            return Json.mapper().writeValueAsString(line) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize log record as JSON", e);
        }
    }
}
