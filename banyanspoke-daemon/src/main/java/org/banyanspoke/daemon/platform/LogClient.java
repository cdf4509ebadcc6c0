package org.banyanspoke.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Single;

/** The platform's append-only log. Every result fails with {@link PlatformException}. */
public interface LogClient {
    /**
     * Appends a record.
     *
     * @return its offset; on failure {@link PlatformException#mayHaveTakenEffect()} says whether the record may be on the
     *     log
     */
    Single<Long> append(JsonNode body);

    /**
     * Reads records.
     *
     * @param fromOffset offset of the first record
     * @param maxRecords upper limit of the number of records
     * @return the page; fails with {@link RecordsExpiredException} if the records are gone
     */
    Single<LogPage> read(long fromOffset, int maxRecords);
}
