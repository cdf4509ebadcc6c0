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
 * Reads the log to its end. Several reads may run at once: pages that are already covered change nothing.
 */
public final class LogReader {
    private static final Logger LOG = Logger.getLogger(LogReader.class);

    /** A snapshot at the design size is about 0.4 MB, so a page of hourly snapshots stays well under the heap. */
    private static final int PAGE_RECORDS = 50;

    private final LogClient log;
    private final ConfigHolder config;
    private final Scheduler controlThread;
    private final Consumer<AcceptedTicket> onAccepted;

    /**
     * @param log the log
     * @param config receives the records
     * @param controlThread runs the results
     * @param onAccepted told of each ticket that the log brought
     */
    public LogReader(LogClient log, ConfigHolder config, Scheduler controlThread, Consumer<AcceptedTicket> onAccepted) {
        this.log = log;
        this.config = config;
        this.controlThread = controlThread;
        this.onAccepted = onAccepted;
    }

    /**
     * Reads from the first record that the configuration does not cover to the end of the log. Fails with {@link
     * org.banyanspoke.daemon.platform.PlatformException} if the log does not answer. Completes with a gap left if the
     * log keeps neither the records nor a snapshot.
     */
    public Completable readToEnd() {
        return Completable.defer(() -> readFrom(config.tracker().nextReadOffset()));
    }

    private Completable readFrom(long offset) {
        return log.read(offset, PAGE_RECORDS)
                .observeOn(controlThread)
                .flatMapCompletable(this::take)
                .onErrorResumeNext(this::skipExpired);
    }

    private Completable take(LogPage page) {
        long before = config.tracker().nextReadOffset();
        List<AcceptedTicket> accepted = config.onRecords(page.records());
        accepted.forEach(onAccepted);
        boolean moved = config.tracker().nextReadOffset() != before;
        boolean more = config.tracker().nextReadOffset() < page.nextOffset()
                || page.records().size() == PAGE_RECORDS;
        return moved && more ? readToEnd() : Completable.complete();
    }

    private Completable skipExpired(Throwable e) {
        if (!(e instanceof RecordsExpiredException expired)) {
            return Completable.error(e);
        }
        if (expired.firstOffset() <= config.tracker().nextReadOffset()) {
            return Completable.error(e);
        }
        LOG.warnf("records from %d to %d are gone", config.tracker().nextReadOffset(), expired.firstOffset());
        config.tracker().onExpired(expired.firstOffset());
        return readToEnd();
    }
}
