package org.banyanspoke.host.standins;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** Another writer of the store, which leaves odd records among those of servers, hosts and operators. */
public final class OtherWriter {
    private static final List<String> TOPICS = List.of("keyed.servers", "keyed.hosts", "keyed.op");

    /** A record of another writer. */
    private record OddRecord(String key, String value) {}

    private static final List<OddRecord> RECORDS = List.of(
            new OddRecord("not a name!", "{}"),
            new OddRecord("", "{}"),
            new OddRecord("k".repeat(200), "[]"),
            new OddRecord("odd-deep", "[".repeat(5_000)),
            new OddRecord("odd-nested", "{\"a\":".repeat(2_000) + "1" + "}".repeat(2_000)),
            new OddRecord("odd-text", "somewhere"),
            new OddRecord("odd-port", "127.0.0.1:99999"),
            new OddRecord("odd-server-port", server("127.0.0.1:99999", "16000", "ready")),
            new OddRecord("odd-server-number", server("127.0.0.1:9", "9".repeat(400), "ready")),
            new OddRecord("odd-server-long-number", server("127.0.0.1:9", "9".repeat(5_000), "ready")),
            new OddRecord("odd-server-infinite", server("127.0.0.1:9", "1e400", "ready")),
            new OddRecord("odd-server-negative", server("127.0.0.1:9", "-1", "ready")),
            new OddRecord("odd-server-state", server("127.0.0.1:9", "16000", "asleep")));
    private static final List<String> CONFIGURATIONS = List.of(
            "{\"version\":7.9,\"routes\":[]}",
            "{\"version\":1e30,\"routes\":[]}",
            "{\"version\":1000000,\"routes\":\"none\"}",
            "[".repeat(5_000));

    private final StoreStandin store;
    private int written;

    /**
     * @param store the store to write to
     */
    public OtherWriter(StoreStandin store) {
        this.store = store;
    }

    private static String server(String address, String cpu, String state) {
        return "{\"service\":\"service\",\"address\":\"" + address + "\",\"zone\":\"a\",\"state\":\"" + state
                + "\",\"born\":1,\"capacity\":{\"cpu\":" + cpu + ",\"mem_mb\":1000},\"labels\":[\"a\"]}";
    }

    /** Writes the next odd record to each topic, and every few records one that is not even a key and a value. */
    public void writeNext() {
        OddRecord odd = RECORDS.get(written % RECORDS.size());
        for (String topic : TOPICS) {
            store.put(topic, odd.key(), odd.value().getBytes(StandardCharsets.UTF_8));
            if (written % 4 == 0) {
                store.putRaw(topic, new byte[] {9, 'k'});
            }
        }
        written++;
    }

    /**
     * Writes configurations that are not valid. The platform's store refuses them; if one were the newest record, a host
     * that starts would have no configuration.
     */
    public void writeConfigurations() {
        CONFIGURATIONS.forEach(each -> store.put("keyed.op", "config", each.getBytes(StandardCharsets.UTF_8)));
    }

    /** Writes every odd record once. */
    public void writeAll() {
        for (int i = 0; i < RECORDS.size(); i++) {
            writeNext();
        }
    }
}
