package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against logs that grow with the load, and against calm lines that displace those of refused requests. */
class RequestLogTest {
    private final AtomicLong nowMillis = new AtomicLong(10_000);
    private final RequestLog log = new RequestLog(() -> nowMillis.get() * 1_000_000);

    private long admitted(RequestLog.Kind kind, int asked) {
        return IntStream.range(0, asked).filter(i -> log.admits(kind)).count();
    }

    @Test
    void aFloodOfCalmLinesIsLimited() {
        assertThat(admitted(RequestLog.Kind.ANSWERED, 10_000)).isEqualTo(20);
    }

    @Test
    void refusedRequestsHaveALimitOfTheirOwn() {
        admitted(RequestLog.Kind.ANSWERED, 10_000);
        assertThat(admitted(RequestLog.Kind.REFUSED, 10)).isEqualTo(10);
    }

    @Test
    void theNextSecondHasRoomAgain() {
        admitted(RequestLog.Kind.REFUSED, 1_000);
        nowMillis.addAndGet(1_000);
        assertThat(admitted(RequestLog.Kind.REFUSED, 10)).isEqualTo(10);
    }
}
