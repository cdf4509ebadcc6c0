package org.banyanspoke.daemon.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.base.Throwables;
import java.util.LinkedHashMap;
import java.util.Map;
import org.banyanspoke.api.json.Json;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;

/**
 * Writes one JSON object a line. Context fields such as job, team and zone are fields of that object. The JSON formatter of
 * JBoss LogManager nests them and always adds the class name and the command line, which an operator does not need.
 */
final class JsonLineFormatter extends ExtFormatter {
    private final Map<String, String> hostFields;

    /**
     * @param hostFields fields of every line, such as host and zone
     */
    JsonLineFormatter(Map<String, String> hostFields) {
        this.hostFields = Map.copyOf(hostFields);
    }

    @Override
    public String format(ExtLogRecord record) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("time", record.getInstant().toString());
        line.put("level", record.getLevel().getName());
        line.put("logger", record.getLoggerName());
        line.put("thread", record.getThreadName());
        line.put("message", formatMessage(record));
        line.putAll(hostFields);
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
            throw new IllegalStateException("a map of texts cannot be written as JSON", e);
        }
    }
}
