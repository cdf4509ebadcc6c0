package org.banyanspoke.daemon;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Set;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.daemon.control.ControlPlane;
import org.banyanspoke.daemon.control.MemberView;
import org.banyanspoke.daemon.control.Readiness;
import org.banyanspoke.daemon.control.TicketOutcome;

/** Stub control plane with a configuration set by the test and no configuration log. */
public final class StubControlPlane implements ControlPlane {
    /** The configuration that this stub reports as accepted. */
    public volatile ConfigState config;

    public StubControlPlane(ConfigState config) {
        this.config = config;
    }

    @Override
    public ConfigState config() {
        return config;
    }

    @Override
    public Flowable<ConfigState> configs() {
        return Flowable.just(config);
    }

    @Override
    public String configSource() {
        return "log";
    }

    @Override
    public Readiness readiness() {
        return Readiness.READY;
    }

    @Override
    public Single<TicketOutcome> appendTicket(Ticket ticket) {
        return Single.error(new IllegalStateException("secret detail of a fault"));
    }

    @Override
    public Maybe<Ticket> ticket(long number) {
        return Maybe.empty();
    }

    @Override
    public Single<List<Ticket>> latestTickets(int limit) {
        return Single.just(List.of());
    }

    @Override
    public List<MemberView> members() {
        return List.of();
    }

    @Override
    public Flowable<Set<ServerId>> leavingServers() {
        return Flowable.just(Set.of());
    }

    @Override
    public void reportLeaving(ServerId server, String incarnation) {}
}
