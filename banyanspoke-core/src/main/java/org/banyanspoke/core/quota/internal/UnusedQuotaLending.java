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
import org.banyanspoke.core.quota.QuotaAllocation;
import org.banyanspoke.core.quota.QuotaAllocator;
import org.banyanspoke.core.quota.QuotaAmount;
import org.banyanspoke.core.quota.QuotaLending;
import org.banyanspoke.core.quota.QuotaShares;
import org.banyanspoke.core.time.MonotonicClock;

/** Lends at most half of the recently unused equal share, and the entire unused reserve. */
public final class UnusedQuotaLending implements QuotaLending {
    private static final long BORROWED_LOAN_TTL_NANOS = 5_000_000_000L;
    private static final long LENT_LOAN_TTL_NANOS = 6_000_000_000L;

    /** Three ticks, so that a loan survives the loss of two renewal requests. */
    private static final long RENEWAL_WINDOW_NANOS = 3_000_000_000L;

    /** Recent use decays by 20% per second, so a share counts as unused about 5 s after a burst. */
    private static final double USE_DECAY_PER_SECOND = 0.8;

    /**
     * One in this many requests goes to any peer, because all reserve holders may be down or have lent their reserve.
     */
    private static final int ANY_PEER_ODDS = 4;

    private final HostId self;
    private final MonotonicClock clock;
    private final UniformRandomProvider random;
    private final long createdNanos;
    private final ActiveLoans borrowedLoans = new ActiveLoans();
    private final ActiveLoans lentLoans = new ActiveLoans();
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final Map<TeamId, QuotaAmount> recentUse = new HashMap<>();
    private Map<TeamId, QuotaAllocation> allocations = Map.of();
    private ConfigState config = ConfigState.EMPTY;
    private boolean mayHaveUnknownLoans = true;
    /** Gives each renewal its own id, so that a delayed grant is not matched to a later request. */
    private int renewals;

    /** Request that has not been granted yet. */
    private record PendingRequest(HostId lender, long sentNanos) {}

    /** Creates a state machine without quota. */
    public UnusedQuotaLending(HostId self, MonotonicClock clock, UniformRandomProvider random) {
        this.self = self;
        this.clock = clock;
        this.random = random;
        this.createdNanos = clock.nanos();
    }

    @Override
    public void configure(ConfigState latest) {
        if (latest.number() != config.number()) {
            borrowedLoans.clear();
            pendingRequests.clear();
        }
        config = latest;
        allocations = QuotaAllocator.allocate(config, self);
        recentUse.keySet().retainAll(allocations.keySet());
    }

    @Override
    public List<LoanRequest> tick(Map<TeamId, TeamDemand> demand, List<HostId> livePeers) {
        long nowNanos = clock.nanos();
        removeExpired(nowNanos);
        Map<TeamId, QuotaAmount> needs = new HashMap<>();
        Map<TeamId, QuotaAmount> deficits = new HashMap<>();
        for (TeamId team : allocations.keySet()) {
            QuotaAmount need = need(demand.get(team));
            needs.put(team, need);
            recentUse.merge(team, need, (before, now) -> decay(before).max(now));
            QuotaAmount deficit = need.minus(share(team, nowNanos));
            if (!deficit.isZero()) {
                deficits.put(team, deficit);
            }
        }
        List<LoanRequest> requests = new ArrayList<>();
        renewal(needs, nowNanos).ifPresent(requests::add);
        if (!deficits.isEmpty() && !livePeers.isEmpty()) {
            requests.add(request(LoanRequest.newLoanId(random.nextLong()), lender(deficits, livePeers), deficits));
        }
        return requests;
    }

    private static QuotaAmount need(TeamDemand demand) {
        return demand == null
                ? QuotaAmount.ZERO
                : new QuotaAmount(
                        (long) (demand.demandedStartsPerSecond() * QuotaAmount.MICROS), demand.demandedTasksInFlight());
    }

    private static QuotaAmount decay(QuotaAmount use) {
        return new QuotaAmount((long) (use.microStartsPerSecond() * USE_DECAY_PER_SECOND), (long)
                (use.tasksInFlight() * USE_DECAY_PER_SECOND));
    }

    /** Returns a renewal of the needed loan that expires first within the renewal window. */
    private Optional<LoanRequest> renewal(Map<TeamId, QuotaAmount> needs, long nowNanos) {
        return borrowedLoans.expiringWithin(RENEWAL_WINDOW_NANOS, nowNanos).stream()
                .filter(loan -> isNeeded(loan, needs, nowNanos))
                .findFirst()
                .map(loan ->
                        request(LoanRequest.renewalIdOf(loan.requestId(), ++renewals), loan.peer(), loan.amounts()));
    }

    private boolean isNeeded(ActiveLoans.Loan loan, Map<TeamId, QuotaAmount> needs, long nowNanos) {
        return loan.amounts().entrySet().stream().anyMatch(entry -> {
            QuotaAmount withoutLoan = share(entry.getKey(), nowNanos).minus(entry.getValue());
            QuotaAmount need = needs.getOrDefault(entry.getKey(), QuotaAmount.ZERO);
            return !need.minus(withoutLoan).min(entry.getValue()).isZero();
        });
    }

    private LoanRequest request(long requestId, HostId lender, Map<TeamId, QuotaAmount> wanted) {
        pendingRequests.put(requestId, new PendingRequest(lender, clock.nanos()));
        return new LoanRequest(self, lender, requestId, config.number(), wanted);
    }

    private HostId lender(Map<TeamId, QuotaAmount> deficits, List<HostId> livePeers) {
        List<HostId> holders = deficits.entrySet().stream()
                .filter(entry -> entry.getValue().tasksInFlight() > 0)
                .flatMap(entry -> QuotaAllocator.reserveHolders(config, entry.getKey()).stream())
                .filter(livePeers::contains)
                .toList();
        boolean anyPeer = holders.isEmpty() || random.nextInt(ANY_PEER_ODDS) == 0;
        List<HostId> candidates = anyPeer ? livePeers : holders;
        return candidates.get(random.nextInt(candidates.size()));
    }

    /**
     * Returns the allocation minus lent loans. The previous process of this host may have lent the maximum; until its
     * last loan has expired, only the amount that is never lent is used.
     */
    private QuotaAmount ownShare(TeamId team, long nowNanos) {
        QuotaAllocation allocation = allocations.getOrDefault(team, QuotaAllocation.ZERO);
        return mayHaveUnknownLoans(nowNanos)
                ? allocation.neverLent()
                : allocation.total().minus(lentLoans.sum(team));
    }

    private boolean mayHaveUnknownLoans(long nowNanos) {
        mayHaveUnknownLoans = mayHaveUnknownLoans && nowNanos - createdNanos < LENT_LOAN_TTL_NANOS;
        return mayHaveUnknownLoans;
    }

    private QuotaAmount share(TeamId team, long nowNanos) {
        return ownShare(team, nowNanos).plus(borrowedLoans.sum(team));
    }

    @Override
    public Optional<LoanGrant> onRequest(LoanRequest request) {
        long nowNanos = clock.nanos();
        removeExpired(nowNanos);
        boolean refused = request.configNumber() != config.number()
                || !request.lender().equals(self)
                || mayHaveUnknownLoans(nowNanos);
        if (refused) {
            return Optional.empty();
        }
        Optional<ActiveLoans.Loan> existing = lentLoans.find(request.borrower(), request.requestId());
        if (existing.isPresent()) {
            return extend(existing.get(), request, nowNanos);
        }
        Map<TeamId, QuotaAmount> amounts = request.isRenewal() ? Map.of() : lendable(request.wanted(), nowNanos);
        return amounts.isEmpty() ? Optional.empty() : Optional.of(lend(request, amounts, nowNanos));
    }

    /**
     * Repeats the grant for a duplicate of the initial request. Refuses a renewal if this host needs its share itself.
     */
    private Optional<LoanGrant> extend(ActiveLoans.Loan existing, LoanRequest request, long nowNanos) {
        boolean needed = existing.amounts().keySet().stream()
                .anyMatch(team -> !recentUse
                        .getOrDefault(team, QuotaAmount.ZERO)
                        .minus(share(team, nowNanos))
                        .isZero());
        return request.isRenewal() && needed
                ? Optional.empty()
                : Optional.of(lend(request, existing.amounts(), nowNanos));
    }

    private LoanGrant lend(LoanRequest request, Map<TeamId, QuotaAmount> amounts, long nowNanos) {
        lentLoans.put(
                new ActiveLoans.Loan(request.borrower(), request.requestId(), nowNanos + LENT_LOAN_TTL_NANOS, amounts));
        return new LoanGrant(request.borrower(), self, request.requestId(), config.number(), amounts);
    }

    private Map<TeamId, QuotaAmount> lendable(Map<TeamId, QuotaAmount> wanted, long nowNanos) {
        Map<TeamId, QuotaAmount> amounts = new HashMap<>();
        wanted.forEach((team, amount) -> {
            QuotaAllocation allocation = allocations.getOrDefault(team, QuotaAllocation.ZERO);
            QuotaAmount unused = ownShare(team, nowNanos).minus(recentUse.getOrDefault(team, QuotaAmount.ZERO));
            QuotaAmount maxOffer = unused.half().max(unused.minus(allocation.equalShare()));
            QuotaAmount remaining = allocation.maxLent().minus(lentLoans.sum(team));
            QuotaAmount lent = maxOffer.min(remaining).min(amount);
            if (!lent.isZero()) {
                amounts.put(team, lent);
            }
        });
        return amounts;
    }

    @Override
    public void onGrant(LoanGrant grant) {
        long nowNanos = clock.nanos();
        removeExpired(nowNanos);
        PendingRequest pending = pendingRequests.get(grant.requestId());
        boolean expected = pending != null
                && pending.lender().equals(grant.lender())
                && grant.configNumber() == config.number()
                && grant.borrower().equals(self);
        if (!expected) {
            return;
        }
        pendingRequests.remove(grant.requestId());
        borrowedLoans.put(new ActiveLoans.Loan(
                grant.lender(), grant.requestId(), pending.sentNanos() + BORROWED_LOAN_TTL_NANOS, grant.granted()));
    }

    private void removeExpired(long nowNanos) {
        borrowedLoans.removeExpired(nowNanos);
        lentLoans.removeExpired(nowNanos);
        pendingRequests.values().removeIf(pending -> nowNanos - pending.sentNanos() >= BORROWED_LOAN_TTL_NANOS);
    }

    @Override
    public QuotaShares shares() {
        long nowNanos = clock.nanos();
        removeExpired(nowNanos);
        Map<TeamId, QuotaShares.Share> shares = new HashMap<>();
        for (TeamId team : allocations.keySet()) {
            QuotaAmount ownShare = ownShare(team, nowNanos);
            QuotaAmount withLoans = ownShare.plus(borrowedLoans.sum(team));
            shares.put(
                    team,
                    new QuotaShares.Share(
                            withLoans.startsPerSecond(),
                            Math.toIntExact(withLoans.tasksInFlight()),
                            borrowedLoans.firstExpiryNanos(team, nowNanos),
                            ownShare.startsPerSecond(),
                            Math.toIntExact(ownShare.tasksInFlight())));
        }
        return new QuotaShares(shares);
    }
}
