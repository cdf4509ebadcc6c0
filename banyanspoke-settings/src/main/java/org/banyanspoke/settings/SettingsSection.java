package org.banyanspoke.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.Inet4Address;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Reader for one JSON object of the settings. Faults are added to a shared list. A method that finds a fault returns
 * the default or null, so that reading continues and reports further faults.
 */
final class SettingsSection {
    private final String path;
    private final JsonNode node;
    private final List<SettingsFault> faults;
    private final Set<String> knownFields = new HashSet<>();

    SettingsSection(String path, JsonNode node, List<SettingsFault> faults) {
        this.path = path;
        this.node = node;
        this.faults = faults;
        if (!node.isMissingNode() && !node.isObject()) {
            addFault(path.isEmpty() ? "(whole file)" : path, node, "an object");
        }
    }

    /** Returns a nested object; an absent one is treated as empty. */
    SettingsSection section(String name) {
        return new SettingsSection(pathOf(name), field(name), faults);
    }

    /** Returns a parsed string, or null after a fault. The parser rejects a value by an IllegalArgumentException. */
    <T> T text(String name, String allowed, Function<String, T> parser) {
        return parse(pathOf(name), field(name), allowed, parser);
    }

    /** Returns a parsed string, the default if the field is absent, or null after a fault. */
    <T> T text(String name, T defaultValue, String allowed, Function<String, T> parser) {
        JsonNode value = field(name);
        return value.isMissingNode() ? defaultValue : parse(pathOf(name), value, allowed, parser);
    }

    /** Returns an integer from {@code min} to {@code max}, or the default if the field is absent or invalid. */
    long integer(String name, long defaultValue, long min, long max) {
        JsonNode value = field(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.canConvertToLong() || !value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
            addFault(pathOf(name), value, "an integer from " + min + " to " + max);
            return defaultValue;
        }
        return value.asLong();
    }

    /** Returns an {@code ip:port} address, or null after a fault. */
    HostAndPort address(String name, int minPort) {
        return text(name, addressFormat(minPort), text -> parseAddress(text, minPort));
    }

    /** Returns an {@code ip:port} address, the default if the field is absent, or null after a fault. */
    HostAndPort address(String name, HostAndPort defaultValue, int minPort) {
        return text(name, defaultValue, addressFormat(minPort), text -> parseAddress(text, minPort));
    }

    /** Returns a list of {@code ip:port} addresses, with null for an invalid one; empty if the field is absent. */
    List<HostAndPort> addresses(String name) {
        JsonNode value = field(name);
        List<HostAndPort> result = new ArrayList<>();
        if (!value.isMissingNode() && !value.isArray()) {
            addFault(pathOf(name), value, "a list of addresses");
        }
        for (int i = 0; i < value.size(); i++) {
            String elementPath = pathOf(name) + "[" + i + "]";
            result.add(parse(elementPath, value.get(i), addressFormat(1), text -> parseAddress(text, 1)));
        }
        return result;
    }

    /** Passes the key and parsed string of every field to the consumer. For objects with user-defined keys. */
    <T> void forEachText(
            String allowed, Function<String, T> parser, java.util.function.BiConsumer<String, T> consumer) {
        for (Iterator<Map.Entry<String, JsonNode>> it = node.fields(); it.hasNext(); ) {
            Map.Entry<String, JsonNode> entry = it.next();
            knownFields.add(entry.getKey());
            T value = parse(pathOf(entry.getKey()), entry.getValue(), allowed, parser);
            if (value != null) {
                consumer.accept(entry.getKey(), value);
            }
        }
    }

    /** Reports every field that has not been read. Must be called after all reads. */
    void rejectUnknownFields() {
        for (Iterator<String> it = node.fieldNames(); it.hasNext(); ) {
            String name = it.next();
            if (!knownFields.contains(name)) {
                addFault(
                        pathOf(name),
                        node.get(name),
                        "no such field; known fields are "
                                + knownFields.stream().sorted().toList());
            }
        }
    }

    private JsonNode field(String name) {
        knownFields.add(name);
        return node.path(name);
    }

    private <T> T parse(String valuePath, JsonNode value, String allowed, Function<String, T> parser) {
        try {
            if (value.isTextual()) {
                return parser.apply(value.textValue());
            }
        } catch (IllegalArgumentException e) {
            // Reported below with the allowed format, which is more specific than the parser's message.
        }
        addFault(valuePath, value, allowed);
        return null;
    }

    private void addFault(String valuePath, JsonNode value, String allowed) {
        faults.add(new SettingsFault(valuePath, value.isMissingNode() ? "absent" : value.toString(), allowed));
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static String addressFormat(int minPort) {
        return "an IPv4 address and a port from " + minPort + " to 65535, such as \"127.0.0.1:8080\"";
    }

    private static HostAndPort parseAddress(String text, int minPort) {
        HostAndPort address = HostAndPort.fromString(text);
        boolean ipv4 = InetAddresses.isInetAddress(address.getHost())
                && InetAddresses.forString(address.getHost()) instanceof Inet4Address;
        if (!ipv4 || !address.hasPort() || address.getPort() < minPort) {
            throw new IllegalArgumentException(text);
        }
        return address;
    }
}
