package org.banyanspoke.daemon.platform;

import java.util.concurrent.atomic.LongAdder;

/** Bytes of requests to the platform and their responses, without TCP/IP headers. Thread safe. */
public final class PlatformTraffic {
    private final LongAdder bytesSent = new LongAdder();
    private final LongAdder bytesReceived = new LongAdder();

    /** Counts a request. */
    public void onSent(long bytes) {
        bytesSent.add(bytes);
    }

    /** Counts a response. */
    public void onReceived(long bytes) {
        bytesReceived.add(bytes);
    }

    /** Returns the bytes of all requests. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Returns the bytes of all responses. */
    public long bytesReceived() {
        return bytesReceived.sum();
    }
}
