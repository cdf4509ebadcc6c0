package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.identity.JobArchive;

/** Final step of a drain: transfers the job archives to a successor. */
@FunctionalInterface
public interface Handover {
    /**
     * Sends the archive, and archives that this host holds for other processes, to a successor, preferably in the same
     * zone, and tells the members that this process has left. Must be called after the last job has ended.
     *
     * @return the successor; empty if no live member accepted the archive within 10 s. Never fails.
     */
    Single<Optional<HostId>> leave(JobArchive archive);
}
