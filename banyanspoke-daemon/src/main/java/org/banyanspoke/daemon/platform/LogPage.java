package org.banyanspoke.daemon.platform;

import java.util.List;
import org.banyanspoke.core.config.LogRecord;

/**
 * Part of the log.
 *
 * @param firstOffset offset of the oldest kept record
 * @param nextOffset offset that the next appended record will get
 * @param records the records, in offset order without holes
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {
    /** Copies the list. */
    public LogPage {
        records = records == null ? List.of() : List.copyOf(records);
    }
}
