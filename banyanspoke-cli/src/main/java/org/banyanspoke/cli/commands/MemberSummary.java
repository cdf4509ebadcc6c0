package org.banyanspoke.cli.commands;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Summarizes in one line how many entry hosts are in each state and lists those that are not live. */
final class MemberSummary {
    private static final Map<String, String> STATE_LABELS = Map.of("left", "drained", "unknown", "never seen");

    private MemberSummary() {}

    /** Returns a summary such as {@code 5 live, 1 suspect (h3), 1 drained (h2)}. */
    static String of(JsonNode members) {
        Map<String, List<String>> hosts = new LinkedHashMap<>();
        hosts.put("live", new ArrayList<>());
        for (JsonNode member : members) {
            hosts.computeIfAbsent(member.path("liveness").asText(), state -> new ArrayList<>())
                    .add(member.path("host").asText());
        }
        return hosts.entrySet().stream()
                .map(entry -> format(entry.getKey(), entry.getValue()))
                .collect(Collectors.joining(", "));
    }

    private static String format(String state, List<String> hosts) {
        String count = hosts.size() + " " + STATE_LABELS.getOrDefault(state, state);
        return state.equals("live") ? count : count + " (" + String.join(", ", hosts) + ")";
    }
}
