package org.banyanspoke.daemon.platform;

import java.util.concurrent.atomic.LongAdder;

/** Counts bytes of HTTP requests to the platform and their responses, without TCP/IP headers. Thread safe. */
public final class PlatformTraffic {
    private final LongAdder bytesSent = new LongAdder();
    private final LongAdder bytesReceived = new LongAdder();

    /** Adds the size of a request. */
    public void onSent(long bytes) {
        bytesSent.add(bytes);
    }

    /** Adds the size of a response. */
    public void onReceived(long bytes) {
        bytesReceived.add(bytes);
    }

    /** Returns the total size of all requests. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Returns the total size of all responses. */
    public long bytesReceived() {
        return bytesReceived.sum();
    }
}
