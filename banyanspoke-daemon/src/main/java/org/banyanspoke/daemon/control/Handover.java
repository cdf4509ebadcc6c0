package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.identity.JobArchive;

/** The last part of a drain. */
@FunctionalInterface
public interface Handover {
    /**
     * Sends the archive, and archives that this host holds for others, to a successor, preferably in the same zone, and
     * tells the members that this process has left. To be called after the last job has ended.
     *
     * @return the successor; empty if no live member took the archive within 10 s. Never fails.
     */
    Single<Optional<HostId>> leave(JobArchive archive);
}
