package org.banyanspoke.daemon.platform;

import java.util.List;
import org.banyanspoke.core.config.LogRecord;

/**
 * Page of log records.
 *
 * @param firstOffset offset of the oldest retained record
 * @param nextOffset offset of the next record to be appended
 * @param records records with consecutive offsets, in ascending order
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {
    /** Makes a defensive copy of the list; null becomes an empty list. */
    public LogPage {
        records = records == null ? List.of() : List.copyOf(records);
    }
}
