package org.banyanspoke.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class QuotaLendingTest {
    private static final TeamId TEAM = new TeamId("a");
    private static final long SECOND = 1_000_000_000L;

    private static ConfigState config(int hosts, int startsPerSecond, int tasksInFlight) {
        return config(1, hosts, startsPerSecond, tasksInFlight);
    }

    private static ConfigState config(long number, int hosts, int startsPerSecond, int tasksInFlight) {
        Map<HostId, EntryHostConfig> entryHosts = new HashMap<>();
        for (int i = 0; i < hosts; i++) {
            entryHosts.put(host(i), new EntryHostConfig(host(i), new ZoneId("z1"), "127.0.0.1:1"));
        }
        TeamConfig team = new TeamConfig(TEAM, 1, startsPerSecond, tasksInFlight, "");
        return new ConfigState(number, Map.of(TEAM, team), Map.of(), Map.of(), entryHosts, ClassShares.DEFAULT);
    }

    private static HostId host(int number) {
        return new HostId("h" + number);
    }

    @Group
    class Allocation {
        /** Guards against rounding that allocates more or less than the quota. */
        @Property(tries = 200, seed = "1")
        void allocationsSumToTheQuota(
                @ForAll @IntRange(min = 1, max = 200) int hosts,
                @ForAll @IntRange(max = 5000) int starts,
                @ForAll @IntRange(max = 5000) int inFlight) {
            ConfigState config = config(hosts, starts, inFlight);
            QuotaAmount sum = QuotaAmount.ZERO;
            for (int i = 0; i < hosts; i++) {
                sum = sum.plus(
                        QuotaAllocator.allocate(config, host(i)).get(TEAM).total());
            }
            assertThat(sum).isEqualTo(new QuotaAmount(starts * 1_000_000L, inFlight));
        }
    }

    @Nested
    class Lending {
        private long nowNanos = -5 * SECOND;
        private final QuotaLending borrower = QuotaLendings.halfOfUnused(host(0), () -> nowNanos, random(1));
        private final QuotaLending lender = QuotaLendings.halfOfUnused(host(1), () -> nowNanos, random(2));

        Lending() {
            nowNanos += 6 * SECOND;
            borrower.configure(config(2, 200, 20));
            lender.configure(config(2, 200, 20));
        }

        private double startsPerSecond(QuotaLending host) {
            return host.shares().shares().get(TEAM).startsPerSecond();
        }

        private LoanRequest request() {
            return tick(180).get(0);
        }

        private List<LoanRequest> tick(double wantedPerSecond) {
            return borrower.tick(Map.of(TEAM, new TeamDemand(100, wantedPerSecond, 1, 1)), List.of(host(1)));
        }

        /** Guards against a lender that uses quota while it is lent, and against loans that never expire. */
        @Test
        void halfOfTheUnusedShareIsLentUntilExpiry() {
            borrower.onGrant(lender.onRequest(request()).orElseThrow());
            assertThat(startsPerSecond(borrower)).isEqualTo(150);
            assertThat(startsPerSecond(lender)).isEqualTo(50);
            nowNanos += 5 * SECOND;
            assertThat(startsPerSecond(borrower)).isEqualTo(100);
            assertThat(startsPerSecond(lender)).isEqualTo(50);
            nowNanos += SECOND;
            assertThat(startsPerSecond(lender)).isEqualTo(100);
        }

        /** Guards against counting a loan twice after a duplicated message. */
        @Test
        void duplicateMessagesHaveNoEffect() {
            LoanRequest request = request();
            LoanGrant grant = lender.onRequest(request).orElseThrow();
            assertThat(lender.onRequest(request)).contains(grant);
            borrower.onGrant(grant);
            borrower.onGrant(grant);
            assertThat(startsPerSecond(borrower)).isEqualTo(150);
            assertThat(startsPerSecond(lender)).isEqualTo(50);
        }

        /** Guards against using a grant that arrives after the loan has expired. */
        @Test
        void lateGrantIsIgnored() {
            LoanGrant grant = lender.onRequest(request()).orElseThrow();
            nowNanos += 5 * SECOND;
            borrower.onGrant(grant);
            assertThat(startsPerSecond(borrower)).isEqualTo(100);
        }

        /**
         * Guards against loans that expire after 5 s while still needed, and against renewal of loans no longer needed.
         */
        @Test
        void loanIsRenewedWhileNeeded() {
            for (int second = 0; second < 20; second++) {
                tick(150).forEach(request -> lender.onRequest(request).ifPresent(borrower::onGrant));
                assertThat(startsPerSecond(borrower)).isEqualTo(150);
                assertThat(startsPerSecond(lender)).isEqualTo(50);
                nowNanos += SECOND;
            }
            nowNanos += 6 * SECOND;
            assertThat(tick(5)).isEmpty();
            assertThat(startsPerSecond(lender)).isEqualTo(100);
        }

        /**
         * Guards against matching a delayed grant of one renewal to a later renewal request, which would extend the
         * loan.
         */
        @Test
        void delayedRenewalGrantIsNotMatchedToALaterRequest() {
            borrower.onGrant(lender.onRequest(request()).orElseThrow());
            nowNanos += 3 * SECOND;
            LoanGrant renewalGrant = lender.onRequest(tick(150).get(0)).orElseThrow();
            nowNanos += SECOND;
            assertThat(tick(150)).isNotEmpty();
            borrower.onGrant(renewalGrant);
            nowNanos += 4 * SECOND;
            assertThat(startsPerSecond(borrower)).isEqualTo(100);
        }

        /** Guards against a restarted lender that uses or lends quota it had lent before the restart. */
        @Test
        void restartedLenderWaitsUntilUnknownLoansHaveExpired() {
            LoanRequest request = request();
            borrower.onGrant(lender.onRequest(request).orElseThrow());
            QuotaLending restarted = QuotaLendings.halfOfUnused(host(1), () -> nowNanos, random(3));
            restarted.configure(config(2, 200, 20));
            assertThat(startsPerSecond(restarted)).isEqualTo(50);
            assertThat(restarted.onRequest(request)).isEmpty();
            nowNanos += 6 * SECOND;
            assertThat(startsPerSecond(borrower)).isEqualTo(100);
            assertThat(startsPerSecond(restarted)).isEqualTo(100);
        }

        /** Guards against loans between hosts with different configurations. */
        @Test
        void loansEndWhenTheConfigurationChanges() {
            LoanRequest request = request();
            borrower.onGrant(lender.onRequest(request).orElseThrow());
            borrower.configure(config(2, 2, 200, 20));
            assertThat(startsPerSecond(borrower)).isEqualTo(100);
            lender.configure(config(2, 2, 200, 20));
            assertThat(startsPerSecond(lender)).isEqualTo(50);
            assertThat(lender.onRequest(request)).isEmpty();
        }
    }

    @Nested
    class LargestJob {
        private static final int HOSTS = 180;
        private static final int QUOTA = 5_000;
        private static final int TASKS = 1_100;

        private long nowNanos;
        private final List<QuotaLending> hosts = new ArrayList<>();

        LargestJob() {
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(QuotaLendings.halfOfUnused(host(i), () -> nowNanos, random(i)));
                hosts.get(i).configure(config(HOSTS, QUOTA, QUOTA));
            }
            nowNanos += 6 * SECOND;
        }

        private int tasksInFlight(int host) {
            return hosts.get(host).shares().shares().get(TEAM).tasksInFlight();
        }

        private int totalTasksInFlight() {
            return IntStream.range(0, HOSTS).map(this::tasksInFlight).sum();
        }

        /**
         * Simulates 1 s in which the first hosts demand the largest job and the others nothing; returns the requests
         * sent.
         */
        private int simulateSecond(int busyHosts) {
            int sent = 0;
            for (int i = 0; i < HOSTS; i++) {
                int self = i;
                List<HostId> peers = IntStream.range(0, HOSTS)
                        .filter(peer -> peer != self)
                        .mapToObj(QuotaLendingTest::host)
                        .toList();
                int wanted = i < busyHosts ? TASKS : 0;
                for (LoanRequest request : hosts.get(i).tick(Map.of(TEAM, new TeamDemand(0, 0, 0, wanted)), peers)) {
                    int lender = Integer.parseInt(request.lender().value().substring(1));
                    hosts.get(lender).onRequest(request).ifPresent(hosts.get(self)::onGrant);
                    sent++;
                }
            }
            nowNanos += SECOND;
            return sent;
        }

        /** Guards against a team that can never run its largest job although its quota covers four such jobs. */
        @Test
        void twoHostsBorrowQuotaForOneJobEachWithinEightSeconds() {
            int requests = 0;
            for (int second = 0; second < 60; second++) {
                requests += simulateSecond(2);
                assertThat(totalTasksInFlight()).isLessThanOrEqualTo(QUOTA);
                if (second >= 8) {
                    assertThat(Math.min(tasksInFlight(0), tasksInFlight(1))).isGreaterThanOrEqualTo(TASKS);
                }
            }
            assertThat(requests).isLessThanOrEqualTo(2 * 2 * 60);
        }

        /** Guards against a reserve that leaves too little quota for the hosts without one. */
        @Test
        void everyHostHasAnEqualShareOfHalfTheQuota() {
            for (int i = 0; i < HOSTS; i++) {
                assertThat(tasksInFlight(i)).isGreaterThanOrEqualTo(QUOTA / 2 / HOSTS);
            }
        }
    }

    /** Simulated hosts that pause and restart, and a network that loses, delays and duplicates messages. */
    private static final class Network {
        private final UniformRandomProvider random;
        private final List<QuotaLending> hosts = new ArrayList<>();
        private final List<QuotaShares.Share> appliedShares = new ArrayList<>();
        private final List<Runnable> delayed = new ArrayList<>();
        private final long[] pausedUntilNanos;
        private final boolean[] busy;
        private long nowNanos;
        private int acceptedGrants;

        private final ConfigState config;

        Network(int hostCount, int quotaInFlight, long seed) {
            random = random(seed);
            config = config(hostCount, 1001, quotaInFlight);
            nowNanos = random.nextLong();
            pausedUntilNanos = new long[hostCount];
            busy = new boolean[hostCount];
            for (int i = 0; i < hostCount; i++) {
                hosts.add(newProcess(i));
                appliedShares.add(null);
                applyShares(i);
                pausedUntilNanos[i] = nowNanos;
            }
        }

        private QuotaLending newProcess(int host) {
            QuotaLending process = QuotaLendings.halfOfUnused(host(host), () -> nowNanos, random(random.nextLong()));
            process.configure(config);
            return process;
        }

        /** Applies the current shares of a host. A paused host continues to use the last applied shares. */
        private void applyShares(int host) {
            appliedShares.set(host, hosts.get(host).shares().shares().get(TEAM));
        }

        void step() {
            nowNanos += random.nextLong(SECOND / 4);
            int host = random.nextInt(hosts.size());
            if (random.nextInt(20) == 0) {
                pausedUntilNanos[host] = nowNanos + random.nextLong(12 * SECOND);
            }
            if (random.nextInt(200) == 0) {
                hosts.set(host, newProcess(host));
                pausedUntilNanos[host] = nowNanos;
                applyShares(host);
            }
            if (nowNanos - pausedUntilNanos[host] >= 0) {
                tick(host);
            }
            while (!delayed.isEmpty() && random.nextBoolean()) {
                delayed.remove(random.nextInt(delayed.size())).run();
            }
        }

        private void tick(int host) {
            if (random.nextInt(8) == 0) {
                busy[host] = !busy[host];
            }
            double wanted = busy[host] ? 800 : 5;
            int inFlight = random.nextInt(busy[host] ? 60 : 10);
            int refused = busy[host] ? 1_100 : 0;
            TeamDemand demand = new TeamDemand(wanted, wanted, inFlight, inFlight + refused);
            List<HostId> peers = new ArrayList<>();
            for (int i = 0; i < hosts.size(); i++) {
                if (i != host) {
                    peers.add(host(i));
                }
            }
            hosts.get(host).tick(Map.of(TEAM, demand), peers).forEach(request -> {
                int lender = Integer.parseInt(request.lender().value().substring(1));
                send(
                        lender,
                        () -> hosts.get(lender).onRequest(request).ifPresent(grant -> {
                            applyShares(lender);
                            send(host, () -> accept(host, grant));
                        }));
            });
            applyShares(host);
        }

        private void accept(int host, LoanGrant grant) {
            hosts.get(host).onGrant(grant);
            applyShares(host);
            acceptedGrants++;
        }

        /** Delivers a message 0 to 3 times, immediately or delayed; messages to a paused host wait until it resumes. */
        private void send(int to, Runnable message) {
            int copies = random.nextInt(4);
            for (int i = 0; i < copies; i++) {
                deliver(to, message);
            }
        }

        private void deliver(int to, Runnable message) {
            if (nowNanos - pausedUntilNanos[to] < 0 || random.nextInt(3) == 0) {
                delayed.add(() -> deliver(to, message));
            } else {
                message.run();
            }
        }

        double startsPerSecond() {
            return appliedShares.stream()
                    .mapToDouble(share -> share.startsPerSecondAt(nowNanos))
                    .sum();
        }

        int tasksInFlight() {
            return appliedShares.stream()
                    .mapToInt(share -> share.tasksInFlightAt(nowNanos))
                    .sum();
        }
    }

    private static UniformRandomProvider random(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    @Group
    class Faults {
        /** Guards against shares that sum to more than the quota under message faults, pauses and restarts. */
        @Property(tries = 200, seed = "2")
        void sumNeverExceedsTheQuota(
                @ForAll @IntRange(min = 2, max = 9) int hosts, @ForAll boolean withReserve, @ForAll long seed) {
            int quotaInFlight = withReserve ? 5_003 : 103;
            Network network = new Network(hosts, quotaInFlight, seed);
            for (int i = 0; i < 800; i++) {
                network.step();
                // Shares are integer millionths; the tolerance covers only the conversion to double.
                assertThat(network.startsPerSecond()).isLessThanOrEqualTo(1001 + 1e-6);
                assertThat(network.tasksInFlight()).isLessThanOrEqualTo(quotaInFlight);
            }
            assertThat(network.acceptedGrants).isPositive();
        }
    }
}
