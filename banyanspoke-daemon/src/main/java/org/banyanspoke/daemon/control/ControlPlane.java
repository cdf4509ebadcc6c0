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
 * What the rest of the daemon sees of the control plane. All methods may be called from any thread. Streams start with
 * the latest value and deliver on the control thread; receivers must not block.
 */
public interface ControlPlane {
    /** Returns the accepted configuration. */
    ConfigState config();

    /** Streams accepted configurations with rising numbers. */
    Flowable<ConfigState> configs();

    /** Returns where the configuration came from: {@code none}, {@code log} or {@code peer}. */
    String configSource();

    /** Returns whether new work may be accepted, and why not. */
    Readiness readiness();

    /**
     * Appends a ticket to the log and waits up to 5 s until its fate is known. The same ticket may be appended again: it
     * is never applied twice.
     */
    Single<TicketOutcome> appendTicket(Ticket ticket);

    /** Returns an accepted ticket; empty if there is none with this number or this host does not keep it. */
    Maybe<Ticket> ticket(long number);

    /** Returns the latest accepted tickets that this host keeps, newest first. */
    Single<List<Ticket>> latestTickets(int limit);

    /** Returns the entry hosts of the roster and their liveness, sorted by id. */
    List<MemberView> members();

    /** Streams the backend servers that the host list, peers or their own answers report as leaving. */
    Flowable<Set<ServerId>> leavingServers();

    /**
     * Tells that a backend server's own answer said that it is leaving.
     *
     * @param incarnation the server's own incarnation; null if it did not say
     */
    void reportLeaving(ServerId server, String incarnation);
}
