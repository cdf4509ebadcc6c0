package org.banyanspoke.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.api.json.Json;
import org.jboss.logging.Logger;

/** Reads the settings file and checks it as a whole before anything starts. */
public final class SettingsReader {
    /** Holds a job of 1,100 tasks with payloads of 16,384 characters, most of them ASCII. */
    private static final int DEFAULT_MAX_BODY_BYTES = 32 * 1024 * 1024;

    private static final int MIN_BODY_BYTES = 1_024;
    private static final int MAX_BODY_BYTES = 256 * 1024 * 1024;
    private static final long DEFAULT_BODY_TIMEOUT_MILLIS = 10_000;
    private static final long MAX_BODY_TIMEOUT_MILLIS = 600_000;
    /** One caller may hold half of the room, so less than two bodies would close the port to the largest one. */
    private static final int MIN_HELD_BODIES = 2;

    private static final int DEFAULT_HELD_BODIES = 8;
    private static final long MAX_HELD_BYTES = 64L * 1024 * 1024 * 1024;
    private static final long DEFAULT_HEAD_TIMEOUT_MILLIS = 10_000;
    /** Longer than the 60 s after which balancers usually close idle connections, so that they close first. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 75_000;

    private static final long MAX_IDLE_TIMEOUT_MILLIS = 3_600_000;
    /** Design 2.6: time in which the load balancer notices the readiness change. */
    private static final long DEFAULT_NOTICE_MILLIS = 2_000;

    private static final long MAX_NOTICE_MILLIS = 60_000;
    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final String NAME_RULE = "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit";

    /**
     * Reads a file.
     *
     * @throws SettingsException with all faults; a file that cannot be read or parsed is one fault
     */
    public Settings read(Path file) throws SettingsException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(List.of(new SettingsFault(file.toString(), e.toString(), "a readable file")));
        }
    }

    /**
     * Parses the text of a settings file.
     *
     * @throws SettingsException with all faults
     */
    public Settings parse(String text) throws SettingsException {
        JsonNode root = parseJson(text);
        List<SettingsFault> faults = new ArrayList<>();
        Settings settings = read(new SettingsSection("", root, faults));
        checkAddressesDiffer(settings, faults);
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        return settings;
    }

    private static JsonNode parseJson(String text) throws SettingsException {
        try {
            return Json.mapperWithComments().readTree(text);
        } catch (JsonProcessingException e) {
            String place =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
            throw new SettingsException(
                    List.of(new SettingsFault("(whole file)", place + e.getOriginalMessage(), "JSON with comments")));
        }
    }

    private static Settings read(SettingsSection root) {
        Settings settings = new Settings(
                readHost(root.section("host")),
                readCallers(root.section("callers")),
                readAdmin(root.section("admin")),
                readPeer(root.section("peer")),
                readAddressOnly(root.section("log")),
                readAddressOnly(root.section("hostList")),
                readNoticeMillis(root.section("drain")),
                readPolicy(root.section("policy")),
                readLevel(root.section("logging")));
        root.rejectUnknown();
        return settings;
    }

    private static Settings.Host readHost(SettingsSection section) {
        HostId id = section.text("id", NAME_RULE, HostId::new);
        ZoneId zone = section.text("zone", NAME_RULE, ZoneId::new);
        String region = section.text("region", NAME_RULE, text -> new ZoneId(text).value());
        section.rejectUnknown();
        return new Settings.Host(id, zone, region);
    }

    private static Settings.Callers readCallers(SettingsSection section) {
        HostAndPort address = section.address("address", 0);
        long maxBodyBytes = section.integer("maxBodyBytes", DEFAULT_MAX_BODY_BYTES, MIN_BODY_BYTES, MAX_BODY_BYTES);
        long timeoutMillis =
                section.integer("bodyTimeoutMillis", DEFAULT_BODY_TIMEOUT_MILLIS, 1, MAX_BODY_TIMEOUT_MILLIS);
        long heldBytes = section.integer(
                "maxHeldBodyBytes", DEFAULT_HELD_BODIES * maxBodyBytes, MIN_HELD_BODIES * maxBodyBytes, MAX_HELD_BYTES);
        long headMillis = section.integer("headTimeoutMillis", DEFAULT_HEAD_TIMEOUT_MILLIS, 1, MAX_BODY_TIMEOUT_MILLIS);
        long idleMillis = section.integer("idleTimeoutMillis", DEFAULT_IDLE_TIMEOUT_MILLIS, 1, MAX_IDLE_TIMEOUT_MILLIS);
        section.rejectUnknown();
        return new Settings.Callers(address, (int) maxBodyBytes, timeoutMillis, heldBytes, headMillis, idleMillis);
    }

    private static Settings.Admin readAdmin(SettingsSection section) {
        HostAndPort address = section.address("address", 0);
        Map<String, String> tokens = new LinkedHashMap<>();
        SettingsSection tokenSection = section.section("operatorTokensSha256");
        tokenSection.forEachText("64 lower-case hexadecimal digits", SettingsReader::checkSha256, tokens::put);
        section.rejectUnknown();
        return new Settings.Admin(address, tokens);
    }

    private static String checkSha256(String text) {
        if (!SHA256_HEX.matcher(text).matches()) {
            throw new IllegalArgumentException(text);
        }
        return text;
    }

    private static Settings.Peer readPeer(SettingsSection section) {
        HostAndPort address = section.address("address", 1);
        HostAndPort advertisedAddress = section.address("advertisedAddress", address, 1);
        List<HostAndPort> seeds = section.addresses("seeds");
        seeds.removeIf(java.util.Objects::isNull);
        section.rejectUnknown();
        return new Settings.Peer(address, advertisedAddress, seeds);
    }

    private static HostAndPort readAddressOnly(SettingsSection section) {
        HostAndPort address = section.address("address", 1);
        section.rejectUnknown();
        return address;
    }

    private static long readNoticeMillis(SettingsSection section) {
        long noticeMillis = section.integer("noticeMillis", DEFAULT_NOTICE_MILLIS, 0, MAX_NOTICE_MILLIS);
        section.rejectUnknown();
        return noticeMillis;
    }

    private static Settings.Policy readPolicy(SettingsSection section) {
        Settings.Policy policy = section.text(
                "name", Settings.Policy.ADAPTIVE, "\"adaptive\" or \"baseline\"", SettingsReader::parsePolicy);
        section.rejectUnknown();
        return policy;
    }

    private static Settings.Policy parsePolicy(String text) {
        return switch (text) {
            case "adaptive" -> Settings.Policy.ADAPTIVE;
            case "baseline" -> Settings.Policy.BASELINE;
            default -> throw new IllegalArgumentException(text);
        };
    }

    private static Logger.Level readLevel(SettingsSection section) {
        Logger.Level level = section.text(
                "level",
                Logger.Level.INFO,
                "one of FATAL, ERROR, WARN, INFO, DEBUG, TRACE",
                text -> Logger.Level.valueOf(text.toUpperCase(Locale.ROOT)));
        section.rejectUnknown();
        return level;
    }

    private static void checkAddressesDiffer(Settings settings, List<SettingsFault> faults) {
        Map<HostAndPort, String> paths = new LinkedHashMap<>();
        checkAddressDiffers("callers.address", settings.callers().address(), paths, faults);
        checkAddressDiffers("admin.address", settings.admin().address(), paths, faults);
        checkAddressDiffers("peer.address", settings.peer().address(), paths, faults);
    }

    private static void checkAddressDiffers(
            String path, HostAndPort address, Map<HostAndPort, String> paths, List<SettingsFault> faults) {
        if (address == null || address.getPort() == 0) {
            return;
        }
        String other = paths.putIfAbsent(address, path);
        if (other != null) {
            faults.add(new SettingsFault(path, "\"" + address + "\"", "an address other than that of " + other));
        }
    }
}
