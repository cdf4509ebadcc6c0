package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.platform.StoreClient;
import org.junit.jupiter.api.Test;

/** Guards against dropping live servers whose entries expired during a store outage, and against keeping dead ones. */
class ServerRegistryTest {
    private static final ZoneId ZONE = new ZoneId("a");
    private final AtomicLong nowMillis = new AtomicLong(10_000);
    private final ServerRegistry registry = new ServerRegistry(() -> nowMillis.get() * 1_000_000);

    private static StoreClient.Entry entry(String id) {
        String value = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"state\":\"ready\","
                + "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}";
        return new StoreClient.Entry(id, value.getBytes(StandardCharsets.UTF_8));
    }

    private static StoreClient.Entry removed(String id) {
        return new StoreClient.Entry(id, new byte[0]);
    }

    @Test
    void keepsAnEntryThatReturnsWithinTheGracePeriod() {
        registry.onAll(List.of(entry("i-1")));
        registry.onChanges(List.of(removed("i-1")));
        nowMillis.addAndGet(1_900);
        assertThat(registry.serversIn(ZONE)).hasSize(1);
        registry.onChanges(List.of(entry("i-1")));
        nowMillis.addAndGet(10_000);
        assertThat(registry.serversIn(ZONE)).hasSize(1);
    }

    @Test
    void dropsAnEntryAfterTheGracePeriod() {
        registry.onAll(List.of(entry("i-1"), entry("i-2")));
        registry.onAll(List.of(entry("i-2")));
        nowMillis.addAndGet(2_600);
        assertThat(registry.serversIn(ZONE)).hasSize(1);
    }

    /** A host that takes over as dispatcher decodes entries long after it has received them. */
    @Test
    void countsTheTimeOfASlowServerFromTheReceiptOfItsEntry() {
        registry.onAll(List.of());
        String slow = new String(entry("i-1").value(), StandardCharsets.UTF_8)
                .replace("{\"service\"", "{\"cold_remaining_ms\":3000,\"service\"");
        registry.onChanges(List.of(new StoreClient.Entry("i-1", slow.getBytes(StandardCharsets.UTF_8))));
        nowMillis.addAndGet(1_000);
        assertThat(registry.serversIn(ZONE).get(0).coldRemainingMillis()).isEqualTo(2_000);
        nowMillis.addAndGet(2_500);
        assertThat(registry.serversIn(ZONE).get(0).coldRemainingMillis()).isZero();
        registry.onChanges(List.of(new StoreClient.Entry("i-1", slow.getBytes(StandardCharsets.UTF_8)), entry("i-1")));
        assertThat(registry.serversIn(ZONE).get(0).coldRemainingMillis()).isZero();
    }

    @Test
    void ignoresAnInvalidEntry() {
        registry.onAll(List.of(new StoreClient.Entry("i-0", new byte[] {1, 2}), entry("i-1")));
        assertThat(registry.serversIn(ZONE)).hasSize(1);
    }

    @Test
    void appliesTheGracePeriodToAnEntryNotYetDecoded() {
        registry.onAll(List.of());
        registry.onChanges(List.of(entry("i-1"), removed("i-1")));
        nowMillis.addAndGet(1_900);
        assertThat(registry.serversIn(ZONE)).hasSize(1);
        nowMillis.addAndGet(700);
        assertThat(registry.serversIn(ZONE)).isEmpty();
    }

    @Test
    void keepsAnEntryThatReturnsBeforeTheNextRead() {
        registry.onAll(List.of(entry("i-1")));
        registry.onChanges(List.of(removed("i-1")));
        registry.onChanges(List.of(entry("i-1")));
        nowMillis.addAndGet(10_000);
        assertThat(registry.serversIn(ZONE)).hasSize(1);
    }

    /** A host that started later did not use such a server, but a host that had read its earlier entry did. */
    @Test
    void dropsAServerWhoseEntryHasBecomeInvalid() {
        registry.onAll(List.of(entry("i-1"), entry("i-2")));
        assertThat(registry.serversIn(ZONE)).hasSize(2);
        registry.onChanges(List.of(new StoreClient.Entry("i-1", new byte[] {1, 2})));
        assertThat(registry.serversIn(ZONE)).hasSize(2);
        nowMillis.addAndGet(2_600);
        assertThat(registry.serversIn(ZONE)).hasSize(1);
        registry.onChanges(List.of(entry("i-1")));
        assertThat(registry.serversIn(ZONE)).hasSize(2);
    }
}
