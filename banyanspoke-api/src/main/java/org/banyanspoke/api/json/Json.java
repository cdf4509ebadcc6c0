package org.banyanspoke.api.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;

/** Shared Jackson mappers, which reject unknown fields and write instants as ISO 8601 text. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new JavaTimeModule())
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .build();

    private static final ObjectMapper MAPPER_WITH_COMMENTS =
            MAPPER.copy().configure(JsonParser.Feature.ALLOW_COMMENTS, true);

    private Json() {}

    /** Returns the mapper for requests and responses. Callers must not reconfigure it. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Returns the mapper for settings and ticket files, which accepts comments. */
    public static ObjectMapper mapperWithComments() {
        return MAPPER_WITH_COMMENTS;
    }
}
