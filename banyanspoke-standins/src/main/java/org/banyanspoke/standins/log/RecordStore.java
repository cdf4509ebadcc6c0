package org.banyanspoke.standins.log;

import java.util.ArrayList;
import java.util.List;

/** In-memory log with consecutive offsets and retention by count and age. Not thread-safe. */
final class RecordStore<T> {
    private record Stored<T>(T body, long writtenMillis) {}

    private final List<Stored<T>> records = new ArrayList<>();
    private long firstOffset;

    long append(T body, long nowMillis) {
        records.add(new Stored<>(body, nowMillis));
        return nextOffset() - 1;
    }

    /** Removes the oldest records beyond {@code keepRecords} and those written before {@code beforeMillis}. */
    void expire(int keepRecords, long beforeMillis) {
        int drop = Math.max(0, records.size() - keepRecords);
        while (drop < records.size() && records.get(drop).writtenMillis() < beforeMillis) {
            drop++;
        }
        records.subList(0, drop).clear();
        firstOffset += drop;
    }

    T get(long offset) {
        return records.get((int) (offset - firstOffset)).body();
    }

    long firstOffset() {
        return firstOffset;
    }

    long nextOffset() {
        return firstOffset + records.size();
    }
}
