package org.banyanspoke.standins.backend;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Instructions to a simulated backend server: {@code {"runMillis": 200, "fail": false, "echo": "x"}}. Other fields are
 * ignored.
 *
 * @param runMillis run time at speed 1, in milliseconds; 0 if absent
 * @param fail whether the task fails at the end of its run time
 * @param echo result of the task; null to return the task id
 */
public record TaskPayload(double runMillis, boolean fail, String echo) {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final TaskPayload EMPTY = new TaskPayload(0, false, null);

    /** Parses a payload. Text that is not a JSON object yields a task with a run time of 0 ms. */
    public static TaskPayload parse(String text) {
        if (!text.startsWith("{")) {
            return EMPTY;
        }
        double runMillis = 0;
        boolean fail = false;
        String echo = null;
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.nextToken();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                if (name.equals("runMillis") && value.isNumeric()) {
                    runMillis = parser.getDoubleValue();
                } else if (name.equals("fail")) {
                    fail = value == JsonToken.VALUE_TRUE;
                } else if (name.equals("echo") && value == JsonToken.VALUE_STRING) {
                    echo = parser.getText();
                } else {
                    parser.skipChildren();
                }
            }
        } catch (IOException e) {
            return EMPTY;
        }
        return new TaskPayload(runMillis, fail, echo);
    }
}
