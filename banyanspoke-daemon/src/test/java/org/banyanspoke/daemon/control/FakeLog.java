package org.banyanspoke.daemon.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.core.config.LogRecord;
import org.banyanspoke.daemon.platform.LogClient;
import org.banyanspoke.daemon.platform.LogPage;
import org.banyanspoke.daemon.platform.PlatformException;
import org.banyanspoke.daemon.platform.RecordsExpiredException;

/** In-memory log that simulates the failures of the platform's log. */
public final class FakeLog implements LogClient {
    /** Fault injected into an append. */
    public enum AppendFault {
        NONE,
        /** The record is stored and the response is lost. */
        RESPONSE_LOST,
        /** The request is lost, which the sender cannot distinguish from a lost response. */
        REQUEST_LOST
    }

    private final List<LogRecord> records = new ArrayList<>();
    private AppendFault fault = AppendFault.NONE;
    private int faultsLeft;
    private boolean down;
    private boolean readable = true;
    private long firstOffset;

    synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    synchronized void setReadable(boolean isReadable) {
        readable = isReadable;
    }

    public synchronized void failAppends(AppendFault kind, int times) {
        fault = kind;
        faultsLeft = times;
    }

    synchronized void expireAll() {
        firstOffset = records.size();
    }

    synchronized int size() {
        return records.size();
    }

    synchronized boolean hasSnapshot() {
        return records.stream().anyMatch(entry -> entry.body().has("snapshot"));
    }

    @Override
    public Single<Long> append(JsonNode body) {
        return Single.defer(() -> appendNow(body));
    }

    @Override
    public Single<LogPage> read(long fromOffset, int maxRecords) {
        return Single.defer(() -> readNow(fromOffset, maxRecords));
    }

    private synchronized Single<Long> appendNow(JsonNode body) {
        if (down) {
            return Single.error(new PlatformException("the log is down", false, null));
        }
        AppendFault current = faultsLeft > 0 ? fault : AppendFault.NONE;
        faultsLeft--;
        if (current != AppendFault.REQUEST_LOST) {
            records.add(new LogRecord(records.size(), body));
        }
        return current == AppendFault.NONE
                ? Single.just(records.size() - 1L)
                : Single.error(new PlatformException("no response", true, null));
    }

    private synchronized Single<LogPage> readNow(long fromOffset, int maxRecords) {
        if (down || !readable) {
            return Single.error(new PlatformException("the log is down", false, null));
        }
        if (fromOffset < firstOffset) {
            return Single.error(new RecordsExpiredException(firstOffset));
        }
        int from = (int) Math.min(fromOffset, records.size());
        int to = Math.min(records.size(), from + maxRecords);
        return Single.just(new LogPage(firstOffset, to, records.subList(from, to)));
    }
}
