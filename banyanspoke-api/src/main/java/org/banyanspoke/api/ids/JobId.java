package org.banyanspoke.api.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Identifies a job and names the process that owns it. Only that process starts tasks of the job.
 *
 * <p>Text form: {@code host~ip:port~incarnation~generation~sequence~mac}, all but the host and the address in
 * hexadecimal. It is safe in a URL path.
 *
 * @param host the entry host that owns the job
 * @param peerAddress the owner's peer address, {@code ip:port}
 * @param incarnation incarnation of the owner
 * @param generation the owner's generation when the id was issued
 * @param sequence unique within the incarnation
 * @param mac message authentication code of the other fields and the team, computed by the owner
 */
public record JobId(HostId host, String peerAddress, Incarnation incarnation, int generation, long sequence, long mac) {
    private static final Pattern TEXT_FORM = Pattern.compile(
            "([A-Za-z0-9._-]{1,63})~([0-9.]{7,15}:[0-9]{1,5})~([0-9a-f]{16})~([0-9a-f]{1,7})~([0-9a-f]{1,15})~([0-9a-f]{16})");

    /**
     * Parses the text form.
     *
     * @throws IllegalArgumentException if the text is not a job id
     */
    @JsonCreator
    public static JobId parse(String text) {
        Matcher matcher = TEXT_FORM.matcher(text == null ? "" : text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("\"" + text + "\" is not a job id");
        }
        return new JobId(
                new HostId(matcher.group(1)),
                matcher.group(2),
                Incarnation.parse(matcher.group(3)),
                Integer.parseInt(matcher.group(4), 16),
                Long.parseLong(matcher.group(5), 16),
                Long.parseUnsignedLong(matcher.group(6), 16));
    }

    @JsonValue
    @Override
    public String toString() {
        return host + "~" + peerAddress + "~" + incarnation + "~" + Integer.toHexString(generation) + "~"
                + Long.toHexString(sequence) + "~" + String.format("%016x", mac);
    }
}
