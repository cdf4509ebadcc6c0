package org.banyanspoke.core.quota.internal;

import java.util.ArrayList;
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
import org.banyanspoke.core.quota.RosterPart;
import org.banyanspoke.core.quota.RosterShares;
import org.banyanspoke.core.time.MonotonicClock;

/** Lends at most half of the recently unused even part, and the whole unused reserve. */
public final class HalfUnusedLending implements QuotaLending {
    private static final long BORROWED_NANOS = 5_000_000_000L;
    private static final long LENT_NANOS = 6_000_000_000L;

    /** Three ticks, so that a loan outlives two lost renewals. */
    private static final long RENEW_NANOS = 3_000_000_000L;

    /** Recent use fades by a fifth a second, so a share counts as unused about 5 s after a burst. */
    private static final double USE_DECAY = 0.8;

    /** Another host than those with a reserve is asked once in so many times: they may all be gone or used up. */
    private static final int ANY_HOST_ONCE_IN = 4;

    private final HostId self;
    private final MonotonicClock clock;
    private final UniformRandomProvider random;
    private final long createdNanos;
    private final LoanBook taken = new LoanBook();
    private final LoanBook given = new LoanBook();
    private final Map<Long, Sent> sentRequests = new HashMap<>();
    private final Map<TeamId, QuotaAmount> recentUse = new HashMap<>();
    private Map<TeamId, RosterPart> base = Map.of();
    private ConfigState config = ConfigState.EMPTY;
    private boolean mayHaveForgottenLoans = true;
    /** Each renewal has its own id: a grant must not be taken for the answer to a request that was sent later. */
    private int renewals;

    /** A request without grant so far. */
    private record Sent(HostId lender, long sentNanos) {}

    /** Creates a state machine without any share. */
    public HalfUnusedLending(HostId self, MonotonicClock clock, UniformRandomProvider random) {
        this.self = self;
        this.clock = clock;
        this.random = random;
        this.createdNanos = clock.nanos();
    }

    @Override
    public void configure(ConfigState latest) {
        if (latest.number() != config.number()) {
            taken.clear();
            sentRequests.clear();
        }
        config = latest;
        base = RosterShares.of(config, self);
        recentUse.keySet().retainAll(base.keySet());
    }

    @Override
    public List<LoanRequest> tick(Map<TeamId, TeamDemand> demand, List<HostId> livePeers) {
        long nowNanos = clock.nanos();
        dropExpired(nowNanos);
        Map<TeamId, QuotaAmount> needs = new HashMap<>();
        Map<TeamId, QuotaAmount> missing = new HashMap<>();
        for (TeamId team : base.keySet()) {
            QuotaAmount need = need(demand.get(team));
            needs.put(team, need);
            recentUse.merge(team, need, (before, now) -> fade(before).max(now));
            QuotaAmount lacking = need.minus(share(team, nowNanos));
            if (!lacking.isNone()) {
                missing.put(team, lacking);
            }
        }
        List<LoanRequest> requests = new ArrayList<>();
        renewal(needs, nowNanos).ifPresent(requests::add);
        if (!missing.isEmpty() && !livePeers.isEmpty()) {
            requests.add(request(LoanRequest.newLoan(random.nextLong()), lender(missing, livePeers), missing));
        }
        return requests;
    }

    private static QuotaAmount need(TeamDemand demand) {
        return demand == null
                ? QuotaAmount.NONE
                : new QuotaAmount(
                        (long) (demand.demandedStartsPerSecond() * QuotaAmount.MICROS), demand.demandedTasksInFlight());
    }

    private static QuotaAmount fade(QuotaAmount use) {
        return new QuotaAmount(
                (long) (use.microStartsPerSecond() * USE_DECAY), (long) (use.tasksInFlight() * USE_DECAY));
    }

    /** Asks to extend the loan that lapses first among those that lapse soon and are needed. */
    private Optional<LoanRequest> renewal(Map<TeamId, QuotaAmount> needs, long nowNanos) {
        return taken.lapsingWithin(RENEW_NANOS, nowNanos).stream()
                .filter(loan -> isNeeded(loan, needs, nowNanos))
                .findFirst()
                .map(loan -> request(LoanRequest.renewalOf(loan.requestId(), ++renewals), loan.peer(), loan.amounts()));
    }

    private boolean isNeeded(LoanBook.Loan loan, Map<TeamId, QuotaAmount> needs, long nowNanos) {
        return loan.amounts().entrySet().stream().anyMatch(entry -> {
            QuotaAmount without = share(entry.getKey(), nowNanos).minus(entry.getValue());
            QuotaAmount need = needs.getOrDefault(entry.getKey(), QuotaAmount.NONE);
            return !need.minus(without).min(entry.getValue()).isNone();
        });
    }

    private LoanRequest request(long requestId, HostId lender, Map<TeamId, QuotaAmount> wanted) {
        sentRequests.put(requestId, new Sent(lender, clock.nanos()));
        return new LoanRequest(self, lender, requestId, config.number(), wanted);
    }

    private HostId lender(Map<TeamId, QuotaAmount> missing, List<HostId> livePeers) {
        List<HostId> holders = missing.entrySet().stream()
                .filter(entry -> entry.getValue().tasksInFlight() > 0)
                .flatMap(entry -> RosterShares.reserveHolders(config, entry.getKey()).stream())
                .filter(livePeers::contains)
                .toList();
        boolean any = holders.isEmpty() || random.nextInt(ANY_HOST_ONCE_IN) == 0;
        List<HostId> candidates = any ? livePeers : holders;
        return candidates.get(random.nextInt(candidates.size()));
    }

    /**
     * Returns the part of the roster share that is not lent. An earlier process of this host may have lent all that it could;
     * until the last such loan has lapsed, only what is never lent counts.
     */
    private QuotaAmount ownShare(TeamId team, long nowNanos) {
        RosterPart part = base.getOrDefault(team, RosterPart.NONE);
        return mayHaveForgottenLoans(nowNanos) ? part.kept() : part.whole().minus(given.sum(team));
    }

    private boolean mayHaveForgottenLoans(long nowNanos) {
        mayHaveForgottenLoans = mayHaveForgottenLoans && nowNanos - createdNanos < LENT_NANOS;
        return mayHaveForgottenLoans;
    }

    private QuotaAmount share(TeamId team, long nowNanos) {
        return ownShare(team, nowNanos).plus(taken.sum(team));
    }

    @Override
    public Optional<LoanGrant> onRequest(LoanRequest request) {
        long nowNanos = clock.nanos();
        dropExpired(nowNanos);
        boolean refused = request.configNumber() != config.number()
                || !request.lender().equals(self)
                || mayHaveForgottenLoans(nowNanos);
        if (refused) {
            return Optional.empty();
        }
        Optional<LoanBook.Loan> existing = given.find(request.borrower(), request.requestId());
        if (existing.isPresent()) {
            return extend(existing.get(), request, nowNanos);
        }
        Map<TeamId, QuotaAmount> amounts = request.isRenewal() ? Map.of() : lendable(request.wanted(), nowNanos);
        return amounts.isEmpty() ? Optional.empty() : Optional.of(lend(request, amounts, nowNanos));
    }

    /** A repeated first request gets the same grant. A renewal is refused if this host needs its share itself. */
    private Optional<LoanGrant> extend(LoanBook.Loan existing, LoanRequest request, long nowNanos) {
        boolean needed = existing.amounts().keySet().stream()
                .anyMatch(team -> !recentUse
                        .getOrDefault(team, QuotaAmount.NONE)
                        .minus(share(team, nowNanos))
                        .isNone());
        return request.isRenewal() && needed
                ? Optional.empty()
                : Optional.of(lend(request, existing.amounts(), nowNanos));
    }

    private LoanGrant lend(LoanRequest request, Map<TeamId, QuotaAmount> amounts, long nowNanos) {
        given.put(new LoanBook.Loan(request.borrower(), request.requestId(), nowNanos + LENT_NANOS, amounts));
        return new LoanGrant(request.borrower(), self, request.requestId(), config.number(), amounts);
    }

    private Map<TeamId, QuotaAmount> lendable(Map<TeamId, QuotaAmount> wanted, long nowNanos) {
        Map<TeamId, QuotaAmount> amounts = new HashMap<>();
        wanted.forEach((team, amount) -> {
            RosterPart part = base.getOrDefault(team, RosterPart.NONE);
            QuotaAmount unused = ownShare(team, nowNanos).minus(recentUse.getOrDefault(team, QuotaAmount.NONE));
            QuotaAmount offered = unused.half().max(unused.minus(part.even()));
            QuotaAmount left = part.lendable().minus(given.sum(team));
            QuotaAmount lent = offered.min(left).min(amount);
            if (!lent.isNone()) {
                amounts.put(team, lent);
            }
        });
        return amounts;
    }

    @Override
    public void onGrant(LoanGrant grant) {
        long nowNanos = clock.nanos();
        dropExpired(nowNanos);
        Sent sent = sentRequests.get(grant.requestId());
        boolean expected = sent != null
                && sent.lender().equals(grant.lender())
                && grant.configNumber() == config.number()
                && grant.borrower().equals(self);
        if (!expected) {
            return;
        }
        sentRequests.remove(grant.requestId());
        taken.put(new LoanBook.Loan(
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
            QuotaAmount own = ownShare(team, nowNanos);
            QuotaAmount withLoans = own.plus(taken.sum(team));
            shares.put(
                    team,
                    new QuotaShares.Share(
                            withLoans.startsPerSecond(),
                            Math.toIntExact(withLoans.tasksInFlight()),
                            taken.firstExpiryNanos(team, nowNanos),
                            own.startsPerSecond(),
                            Math.toIntExact(own.tasksInFlight())));
        }
        return new QuotaShares(shares);
    }
}
