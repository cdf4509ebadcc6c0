package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.List;
import java.util.function.Consumer;
import org.banyanspoke.core.config.AcceptedTicket;
import org.banyanspoke.daemon.platform.LogClient;
import org.banyanspoke.daemon.platform.LogPage;
import org.banyanspoke.daemon.platform.RecordsExpiredException;
import org.jboss.logging.Logger;

/**
 * Reads the log to its end. Concurrent reads are allowed: pages that are already applied have no effect.
 */
public final class LogReader {
    private static final Logger LOG = Logger.getLogger(LogReader.class);

    /** A snapshot at the design size is about 0.4 MB, so a page of hourly snapshots fits well into the heap. */
    private static final int PAGE_RECORDS = 50;

    private final LogClient log;
    private final ConfigHolder config;
    private final Scheduler controlThread;
    private final Consumer<AcceptedTicket> onAccepted;

    /**
     * @param log the log
     * @param config receives the records
     * @param controlThread processes the results
     * @param onAccepted called for each ticket accepted from the log
     */
    public LogReader(LogClient log, ConfigHolder config, Scheduler controlThread, Consumer<AcceptedTicket> onAccepted) {
        this.log = log;
        this.config = config;
        this.controlThread = controlThread;
        this.onAccepted = onAccepted;
    }

    /**
     * Reads from the first record that the configuration does not cover to the end of the log. Fails with {@link
     * org.banyanspoke.daemon.platform.PlatformException} if the log does not answer. Completes with a gap if the log
     * retains neither the records nor a snapshot.
     */
    public Completable readToEnd() {
        return Completable.defer(() -> readFrom(config.tracker().nextReadOffset()));
    }

    private Completable readFrom(long offset) {
        return log.read(offset, PAGE_RECORDS)
                .observeOn(controlThread)
                .flatMapCompletable(this::onPage)
                .onErrorResumeNext(this::skipExpired);
    }

    private Completable onPage(LogPage page) {
        long before = config.tracker().nextReadOffset();
        List<AcceptedTicket> accepted = config.onRecords(page.records());
        accepted.forEach(onAccepted);
        boolean advanced = config.tracker().nextReadOffset() != before;
        boolean more = config.tracker().nextReadOffset() < page.nextOffset()
                || page.records().size() == PAGE_RECORDS;
        return advanced && more ? readToEnd() : Completable.complete();
    }

    private Completable skipExpired(Throwable e) {
        if (!(e instanceof RecordsExpiredException expired)) {
            return Completable.error(e);
        }
        if (expired.firstOffset() <= config.tracker().nextReadOffset()) {
            return Completable.error(e);
        }
        LOG.warnf(
                "log records from offset %d up to %d have expired",
                config.tracker().nextReadOffset(), expired.firstOffset());
        config.tracker().onExpired(expired.firstOffset());
        return readToEnd();
    }
}
