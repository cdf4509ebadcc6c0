package org.banyanspoke.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Single;

/** Client of the platform's append-only log. All operations fail with {@link PlatformException}. */
public interface LogClient {
    /**
     * Appends a record.
     *
     * @return its offset; on failure {@link PlatformException#mayHaveTakenEffect()} tells whether the record may have
     *     been appended
     */
    Single<Long> append(JsonNode body);

    /**
     * Reads records.
     *
     * @param fromOffset offset of the first record
     * @param maxRecords maximum number of records
     * @return the page; fails with {@link RecordsExpiredException} if the log no longer retains the records
     */
    Single<LogPage> read(long fromOffset, int maxRecords);
}
