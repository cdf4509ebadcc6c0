package org.banyanspoke.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanspoke.api.json.Json;

/** Changes single fields of an immutable options record. */
public final class Options {
    private Options() {}

    /**
     * Returns a copy with the fields of the patch replaced.
     *
     * @throws JsonProcessingException if the patch has an unknown field or a value of a wrong type
     */
    public static <T extends Record> T patch(T options, JsonNode patch, Class<T> type) throws JsonProcessingException {
        if (!(patch instanceof ObjectNode fields)) {
            throw new IllegalArgumentException("options are a JSON object, not " + patch.getNodeType());
        }
        ObjectNode merged = Json.mapper().valueToTree(options);
        merged.setAll(fields);
        return Json.mapper().treeToValue(merged, type);
    }
}
