package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Set;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.config.ConfigState;

/**
 * Interface of the control plane to the rest of the daemon. All methods are thread-safe. Streams start with
 * the latest value and emit on the control thread; subscribers must not block.
 */
public interface ControlPlane {
    /** Returns the accepted configuration. */
    ConfigState config();

    /** Streams accepted configurations in increasing order of their numbers. */
    Flowable<ConfigState> configs();

    /** Returns where the configuration came from: {@code none}, {@code log} or {@code peer}. */
    String configSource();

    /** Returns whether new jobs may be accepted and, if not, the reason. */
    Readiness readiness();

    /**
     * Appends a ticket to the log and waits up to 5 s for its outcome. The same ticket may be appended again: it
     * is never applied twice.
     */
    Single<TicketOutcome> appendTicket(Ticket ticket);

    /** Returns an accepted ticket; empty if no ticket has this number or this host no longer retains it. */
    Maybe<Ticket> ticket(long number);

    /** Returns the latest accepted tickets that this host retains, newest first. */
    Single<List<Ticket>> latestTickets(int limit);

    /** Returns the entry hosts of the roster and their liveness, sorted by id. */
    List<MemberView> members();

    /** Streams the backend servers reported as leaving by the host list, by peers or by the servers' own responses. */
    Flowable<Set<ServerId>> leavingServers();

    /**
     * Records that a backend server reported itself as leaving in a response.
     *
     * @param incarnation the server's incarnation; null if not reported
     */
    void reportLeaving(ServerId server, String incarnation);
}
