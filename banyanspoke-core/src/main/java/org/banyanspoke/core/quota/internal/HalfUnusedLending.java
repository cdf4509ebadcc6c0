package org.banyanspoke.core.quota.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;
import org.banyanspoke.core.quota.LoanGrant;
import org.banyanspoke.core.quota.LoanRequest;
import org.banyanspoke.core.quota.QuotaAmount;
import org.banyanspoke.core.quota.QuotaLending;
import org.banyanspoke.core.quota.QuotaShares;
import org.banyanspoke.core.quota.RosterShares;
import org.banyanspoke.core.time.MonotonicClock;

/** Lends at most half of the recently unused share. */
public final class HalfUnusedLending implements QuotaLending {
    private static final long BORROWED_NANOS = 5_000_000_000L;
    private static final long LENT_NANOS = 6_000_000_000L;

    /** Loans that lapse within two ticks are replaced ahead of time. */
    private static final long RENEW_NANOS = 2_000_000_000L;

    /** Recent use fades by a fifth a second, so a share counts as unused about 5 s after a burst. */
    private static final double USE_DECAY = 0.8;

    private final HostId self;
    private final MonotonicClock clock;
    private final UniformRandomProvider random;
    private final LoanBook taken = new LoanBook();
    private final LoanBook given = new LoanBook();
    private final Map<Long, Sent> sentRequests = new HashMap<>();
    private final Map<TeamId, QuotaAmount> recentUse = new HashMap<>();
    private Map<TeamId, QuotaAmount> base = Map.of();
    private long configNumber;

    /** A request without grant so far. */
    private record Sent(HostId lender, long sentNanos) {}

    /** Creates a state machine without any share. */
    public HalfUnusedLending(HostId self, MonotonicClock clock, UniformRandomProvider random) {
        this.self = self;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public void configure(ConfigState config) {
        if (config.number() != configNumber) {
            taken.clear();
            sentRequests.clear();
        }
        configNumber = config.number();
        base = RosterShares.of(config, self);
        recentUse.keySet().retainAll(base.keySet());
    }

    @Override
    public Optional<LoanRequest> tick(Map<TeamId, TeamDemand> demand, List<HostId> livePeers) {
        long nowNanos = clock.nanos();
        dropExpired(nowNanos);
        Map<TeamId, QuotaAmount> wanted = new HashMap<>();
        for (TeamId team : base.keySet()) {
            TeamDemand teamDemand = demand.getOrDefault(team, new TeamDemand(0, 0, 0));
            recordUse(team, teamDemand);
            QuotaAmount missing = missing(team, teamDemand, nowNanos);
            if (!missing.isNone()) {
                wanted.put(team, missing);
            }
        }
        if (wanted.isEmpty() || livePeers.isEmpty()) {
            return Optional.empty();
        }
        HostId lender = livePeers.get(random.nextInt(livePeers.size()));
        long requestId = random.nextLong();
        sentRequests.put(requestId, new Sent(lender, nowNanos));
        return Optional.of(new LoanRequest(self, lender, requestId, configNumber, wanted));
    }

    private void recordUse(TeamId team, TeamDemand demand) {
        QuotaAmount before = recentUse.getOrDefault(team, QuotaAmount.NONE);
        QuotaAmount faded = new QuotaAmount(
                (long) (before.microStartsPerSecond() * USE_DECAY), (long) (before.tasksInFlight() * USE_DECAY));
        QuotaAmount now =
                new QuotaAmount((long) (demand.wantedPerSecond() * QuotaAmount.MICROS), demand.tasksInFlight());
        recentUse.put(team, faded.max(now));
    }

    /** Returns what the team needs beyond the share that it still has when loans about to lapse are gone. */
    private QuotaAmount missing(TeamId team, TeamDemand demand, long nowNanos) {
        QuotaAmount share = ownShare(team, nowNanos).plus(taken.sum(team, nowNanos + RENEW_NANOS));
        long wantedMicros = (long) (demand.wantedPerSecond() * QuotaAmount.MICROS);
        // Refused tasks are not counted as in flight, so a share that is nearly used up is doubled.
        boolean nearlyFull = demand.tasksInFlight() > 0 && demand.tasksInFlight() >= 0.8 * share.tasksInFlight();
        long wantedInFlight = nearlyFull ? 2L * demand.tasksInFlight() : 0;
        return new QuotaAmount(wantedMicros, wantedInFlight).minus(share);
    }

    /** Returns the part of the roster share that is not lent. */
    private QuotaAmount ownShare(TeamId team, long nowNanos) {
        return base.getOrDefault(team, QuotaAmount.NONE).minus(given.sum(team, nowNanos));
    }

    @Override
    public Optional<LoanGrant> onRequest(LoanRequest request) {
        long nowNanos = clock.nanos();
        dropExpired(nowNanos);
        if (request.configNumber() != configNumber || !request.lender().equals(self)) {
            return Optional.empty();
        }
        LoanBook.Loan existing = given.find(request.borrower(), request.requestId());
        if (existing != null) {
            return Optional.of(grant(request, existing.amounts()));
        }
        Map<TeamId, QuotaAmount> amounts = lendable(request.wanted(), nowNanos);
        if (amounts.isEmpty()) {
            return Optional.empty();
        }
        given.add(new LoanBook.Loan(request.borrower(), request.requestId(), nowNanos + LENT_NANOS, amounts));
        return Optional.of(grant(request, amounts));
    }

    private Map<TeamId, QuotaAmount> lendable(Map<TeamId, QuotaAmount> wanted, long nowNanos) {
        Map<TeamId, QuotaAmount> amounts = new HashMap<>();
        wanted.forEach((team, amount) -> {
            QuotaAmount unused = ownShare(team, nowNanos).minus(recentUse.getOrDefault(team, QuotaAmount.NONE));
            QuotaAmount lent = unused.half().min(amount);
            if (!lent.isNone()) {
                amounts.put(team, lent);
            }
        });
        return amounts;
    }

    private LoanGrant grant(LoanRequest request, Map<TeamId, QuotaAmount> amounts) {
        return new LoanGrant(request.borrower(), self, request.requestId(), configNumber, amounts);
    }

    @Override
    public void onGrant(LoanGrant grant) {
        long nowNanos = clock.nanos();
        dropExpired(nowNanos);
        Sent sent = sentRequests.get(grant.requestId());
        boolean expected = sent != null
                && sent.lender().equals(grant.lender())
                && grant.configNumber() == configNumber
                && grant.borrower().equals(self);
        if (!expected) {
            return;
        }
        sentRequests.remove(grant.requestId());
        taken.add(new LoanBook.Loan(
                grant.lender(), grant.requestId(), sent.sentNanos() + BORROWED_NANOS, grant.granted()));
    }

    private void dropExpired(long nowNanos) {
        taken.dropExpired(nowNanos);
        given.dropExpired(nowNanos);
        sentRequests.values().removeIf(sent -> nowNanos - sent.sentNanos() >= BORROWED_NANOS);
    }

    @Override
    public QuotaShares shares() {
        long nowNanos = clock.nanos();
        dropExpired(nowNanos);
        Map<TeamId, QuotaShares.Share> shares = new HashMap<>();
        for (TeamId team : base.keySet()) {
            shares.put(team, share(team, nowNanos));
        }
        return new QuotaShares(shares);
    }

    private QuotaShares.Share share(TeamId team, long nowNanos) {
        QuotaAmount own = ownShare(team, nowNanos);
        QuotaAmount withLoans = own.plus(taken.sum(team, nowNanos));
        return new QuotaShares.Share(
                withLoans.startsPerSecond(),
                Math.toIntExact(withLoans.tasksInFlight()),
                taken.firstExpiryNanos(team, nowNanos),
                own.startsPerSecond(),
                Math.toIntExact(own.tasksInFlight()));
    }
}
