package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against logs that grow with the load, and against successful requests that displace refused ones. */
class RequestLogTest {
    private final AtomicLong nowMillis = new AtomicLong(10_000);
    private final RequestLog log = new RequestLog(() -> nowMillis.get() * 1_000_000);

    private long acquired(RequestLog.Kind kind, int attempts) {
        return IntStream.range(0, attempts).filter(i -> log.tryAcquire(kind)).count();
    }

    @Test
    void limitsLinesPerSecond() {
        assertThat(acquired(RequestLog.Kind.ANSWERED, 10_000)).isEqualTo(20);
    }

    @Test
    void limitsEachKindSeparately() {
        acquired(RequestLog.Kind.ANSWERED, 10_000);
        assertThat(acquired(RequestLog.Kind.REFUSED, 10)).isEqualTo(10);
    }

    @Test
    void resetsTheLimitEverySecond() {
        acquired(RequestLog.Kind.REFUSED, 1_000);
        nowMillis.addAndGet(1_000);
        assertThat(acquired(RequestLog.Kind.REFUSED, 10)).isEqualTo(10);
    }
}
