package org.banyanspoke.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanspoke.api.json.Json;

/** Applies partial updates to immutable option records. */
public final class Options {
    private Options() {}

    /**
     * Returns a copy in which the fields of the patch replace the current values.
     *
     * @throws IllegalArgumentException if the patch is not a JSON object
     * @throws JsonProcessingException if the patch has an unknown field or a value of the wrong type
     */
    public static <T extends Record> T patch(T options, JsonNode patch, Class<T> type) throws JsonProcessingException {
        if (!(patch instanceof ObjectNode fields)) {
            throw new IllegalArgumentException("options must be a JSON object, got " + patch.getNodeType());
        }
        ObjectNode merged = Json.mapper().valueToTree(options);
        merged.setAll(fields);
        return Json.mapper().treeToValue(merged, type);
    }
}
