package org.banyanspoke.settings;

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

/** Reads the settings file and validates all of it before any service starts. */
public final class SettingsReader {
    /** Sufficient for a job of 1,100 tasks with mostly ASCII payloads of 16,384 characters. */
    private static final int DEFAULT_MAX_BODY_BYTES = 32 * 1024 * 1024;

    private static final int MIN_BODY_BYTES = 1_024;
    private static final int MAX_BODY_BYTES = 256 * 1024 * 1024;
    private static final long DEFAULT_BODY_TIMEOUT_MILLIS = 10_000;
    private static final long MAX_BODY_TIMEOUT_MILLIS = 600_000;
    /**
     * One caller may use half of the limit, so a limit below two maximum-size bodies would reject every body of that
     * size. A body takes up to three times its size in memory while it is read, so two of 32 MiB fit a heap of 256 MB.
     */
    private static final int MIN_HELD_BODIES = 2;

    private static final long MAX_HELD_BODY_BYTES = 64L * 1024 * 1024 * 1024;
    private static final long DEFAULT_HEAD_TIMEOUT_MILLIS = 10_000;
    /** Exceeds the usual idle timeout of load balancers, 60 s, so that they close the connection first. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 75_000;

    private static final long MAX_IDLE_TIMEOUT_MILLIS = 3_600_000;
    /** Time within which the load balancer detects the change of readiness. */
    private static final long DEFAULT_DRAIN_NOTICE_MILLIS = 2_000;

    private static final long MAX_DRAIN_NOTICE_MILLIS = 60_000;
    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final String NAME_FORMAT =
            "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit";

    /**
     * Reads and validates a settings file.
     *
     * @throws SettingsException with all faults; an unreadable or unparsable file counts as one fault
     */
    public Settings read(Path file) throws SettingsException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(List.of(new SettingsFault(file.toString(), e.toString(), "a readable file")));
        }
    }

    /**
     * Parses and validates the text of a settings file.
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
            String location =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
            throw new SettingsException(List.of(
                    new SettingsFault("(whole file)", location + e.getOriginalMessage(), "JSON with comments")));
        }
    }

    private static Settings read(SettingsSection root) {
        Settings settings = new Settings(
                readHost(root.section("host")),
                readCallers(root.section("callers")),
                readAdmin(root.section("admin")),
                readPeer(root.section("peer")),
                readAddress(root.section("log")),
                readAddress(root.section("hostList")),
                readDrainNoticeMillis(root.section("drain")),
                readPolicy(root.section("policy")),
                readLogLevel(root.section("logging")));
        root.rejectUnknownFields();
        return settings;
    }

    private static Settings.Host readHost(SettingsSection section) {
        HostId id = section.text("id", NAME_FORMAT, HostId::new);
        ZoneId zone = section.text("zone", NAME_FORMAT, ZoneId::new);
        String region = section.text("region", NAME_FORMAT, text -> new ZoneId(text).value());
        section.rejectUnknownFields();
        return new Settings.Host(id, zone, region);
    }

    private static Settings.Callers readCallers(SettingsSection section) {
        HostAndPort address = section.address("address", 0);
        long maxBodyBytes = section.integer("maxBodyBytes", DEFAULT_MAX_BODY_BYTES, MIN_BODY_BYTES, MAX_BODY_BYTES);
        long bodyTimeoutMillis =
                section.integer("bodyTimeoutMillis", DEFAULT_BODY_TIMEOUT_MILLIS, 1, MAX_BODY_TIMEOUT_MILLIS);
        long maxHeldBodyBytes = section.integer(
                "maxHeldBodyBytes",
                MIN_HELD_BODIES * maxBodyBytes,
                MIN_HELD_BODIES * maxBodyBytes,
                MAX_HELD_BODY_BYTES);
        long headTimeoutMillis =
                section.integer("headTimeoutMillis", DEFAULT_HEAD_TIMEOUT_MILLIS, 1, MAX_BODY_TIMEOUT_MILLIS);
        long idleTimeoutMillis =
                section.integer("idleTimeoutMillis", DEFAULT_IDLE_TIMEOUT_MILLIS, 1, MAX_IDLE_TIMEOUT_MILLIS);
        section.rejectUnknownFields();
        return new Settings.Callers(
                address, (int) maxBodyBytes, bodyTimeoutMillis, maxHeldBodyBytes, headTimeoutMillis, idleTimeoutMillis);
    }

    private static Settings.Admin readAdmin(SettingsSection section) {
        HostAndPort address = section.address("address", 0);
        Map<String, String> tokens = new LinkedHashMap<>();
        SettingsSection tokenSection = section.section("operatorTokensSha256");
        tokenSection.forEachText("64 lower-case hexadecimal digits", SettingsReader::requireSha256Hex, tokens::put);
        section.rejectUnknownFields();
        return new Settings.Admin(address, tokens);
    }

    private static String requireSha256Hex(String text) {
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
        section.rejectUnknownFields();
        return new Settings.Peer(address, advertisedAddress, seeds);
    }

    private static HostAndPort readAddress(SettingsSection section) {
        HostAndPort address = section.address("address", 1);
        section.rejectUnknownFields();
        return address;
    }

    private static long readDrainNoticeMillis(SettingsSection section) {
        long noticeMillis = section.integer("noticeMillis", DEFAULT_DRAIN_NOTICE_MILLIS, 0, MAX_DRAIN_NOTICE_MILLIS);
        section.rejectUnknownFields();
        return noticeMillis;
    }

    private static Settings.Policy readPolicy(SettingsSection section) {
        Settings.Policy policy = section.text(
                "name", Settings.Policy.ADAPTIVE, "\"adaptive\" or \"baseline\"", SettingsReader::parsePolicy);
        section.rejectUnknownFields();
        return policy;
    }

    private static Settings.Policy parsePolicy(String text) {
        return switch (text) {
            case "adaptive" -> Settings.Policy.ADAPTIVE;
            case "baseline" -> Settings.Policy.BASELINE;
            default -> throw new IllegalArgumentException(text);
        };
    }

    private static Logger.Level readLogLevel(SettingsSection section) {
        Logger.Level level = section.text(
                "level",
                Logger.Level.INFO,
                "one of FATAL, ERROR, WARN, INFO, DEBUG, TRACE",
                text -> Logger.Level.valueOf(text.toUpperCase(Locale.ROOT)));
        section.rejectUnknownFields();
        return level;
    }

    private static void checkAddressesDiffer(Settings settings, List<SettingsFault> faults) {
        Map<HostAndPort, String> pathsByAddress = new LinkedHashMap<>();
        checkAddressDiffers("callers.address", settings.callers().address(), pathsByAddress, faults);
        checkAddressDiffers("admin.address", settings.admin().address(), pathsByAddress, faults);
        checkAddressDiffers("peer.address", settings.peer().address(), pathsByAddress, faults);
    }

    private static void checkAddressDiffers(
            String path, HostAndPort address, Map<HostAndPort, String> pathsByAddress, List<SettingsFault> faults) {
        if (address == null || address.getPort() == 0) {
            return;
        }
        String otherPath = pathsByAddress.putIfAbsent(address, path);
        if (otherPath != null) {
            faults.add(new SettingsFault(path, "\"" + address + "\"", "an address other than that of " + otherPath));
        }
    }
}
