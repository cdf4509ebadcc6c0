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
        Map<HostId, EntryHostConfig> roster = new HashMap<>();
        for (int i = 0; i < hosts; i++) {
            roster.put(host(i), new EntryHostConfig(host(i), new ZoneId("z1"), "127.0.0.1:1"));
        }
        TeamConfig team = new TeamConfig(TEAM, 1, startsPerSecond, tasksInFlight, "");
        return new ConfigState(number, Map.of(TEAM, team), Map.of(), Map.of(), roster, ClassShares.DEFAULT);
    }

    private static HostId host(int number) {
        return new HostId("h" + number);
    }

    @Group
    class Roster {
        /** Guards against rounding that gives out more or less than the quota. */
        @Property(tries = 200, seed = "1")
        void partsAddUpToTheQuota(
                @ForAll @IntRange(min = 1, max = 200) int hosts,
                @ForAll @IntRange(max = 5000) int starts,
                @ForAll @IntRange(max = 5000) int inFlight) {
            ConfigState config = config(hosts, starts, inFlight);
            QuotaAmount sum = QuotaAmount.ZERO;
            for (int i = 0; i < hosts; i++) {
                sum = sum.plus(QuotaAllocator.allocate(config, host(i)).get(TEAM).total());
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

        /** Guards against a lender that keeps using what it lent, and against loans that never end. */
        @Test
        void halfOfTheUnusedShareMovesUntilItLapses() {
            borrower.onGrant(lender.onRequest(request()).orElseThrow());
            assertThat(startsPerSecond(borrower)).isEqualTo(150);
            assertThat(startsPerSecond(lender)).isEqualTo(50);
            nowNanos += 5 * SECOND;
            assertThat(startsPerSecond(borrower)).isEqualTo(100);
            assertThat(startsPerSecond(lender)).isEqualTo(50);
            nowNanos += SECOND;
            assertThat(startsPerSecond(lender)).isEqualTo(100);
        }

        /** Guards against a loan that counts twice because the network repeated a message. */
        @Test
        void duplicatesChangeNothing() {
            LoanRequest request = request();
            LoanGrant grant = lender.onRequest(request).orElseThrow();
            assertThat(lender.onRequest(request)).contains(grant);
            borrower.onGrant(grant);
            borrower.onGrant(grant);
            assertThat(startsPerSecond(borrower)).isEqualTo(150);
            assertThat(startsPerSecond(lender)).isEqualTo(50);
        }

        /** Guards against a grant that arrives after the lender has taken its share back. */
        @Test
        void lateGrantIsIgnored() {
            LoanGrant grant = lender.onRequest(request()).orElseThrow();
            nowNanos += 5 * SECOND;
            borrower.onGrant(grant);
            assertThat(startsPerSecond(borrower)).isEqualTo(100);
        }

        /** Guards against a borrower that falls back to its own share every 5 s, and against loans that outlive the need. */
        @Test
        void loanIsExtendedWhileItIsNeeded() {
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

        /** Guards against a late grant of one extension that is taken for the answer to a later one. */
        @Test
        void grantOfAnEarlierExtensionDoesNotCountFromTheLaterOne() {
            borrower.onGrant(lender.onRequest(request()).orElseThrow());
            nowNanos += 3 * SECOND;
            LoanGrant extension = lender.onRequest(tick(150).get(0)).orElseThrow();
            nowNanos += SECOND;
            assertThat(tick(150)).isNotEmpty();
            borrower.onGrant(extension);
            nowNanos += 4 * SECOND;
            assertThat(startsPerSecond(borrower)).isEqualTo(100);
        }

        /** Guards against a restarted lender that uses what its predecessor lent, or lends it again. */
        @Test
        void restartedLenderWaitsUntilEveryForgottenLoanHasLapsed() {
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

        /** Guards against loans computed from different rosters. */
        @Test
        void loansEndWithTheConfiguration() {
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

        private int sum() {
            return IntStream.range(0, HOSTS).map(this::tasksInFlight).sum();
        }

        /** All hosts tick; the first ones want the largest job, the others nothing. Returns the requests sent. */
        private int second(int busyHosts) {
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

        /** Guards against a team that can never run its largest job although its quota allows four of them. */
        @Test
        void twoHostsBorrowWhatOneJobNeedsWithinSecondsAndKeepIt() {
            int requests = 0;
            for (int second = 0; second < 60; second++) {
                requests += second(2);
                assertThat(sum()).isLessThanOrEqualTo(QUOTA);
                if (second >= 8) {
                    assertThat(Math.min(tasksInFlight(0), tasksInFlight(1))).isGreaterThanOrEqualTo(TASKS);
                }
            }
            assertThat(requests).isLessThanOrEqualTo(2 * 2 * 60);
        }

        /** Guards against a reserve that starves the hosts without one. */
        @Test
        void everyHostKeepsAnEvenPartOfHalfTheQuota() {
            for (int i = 0; i < HOSTS; i++) {
                assertThat(tasksInFlight(i)).isGreaterThanOrEqualTo(QUOTA / 2 / HOSTS);
            }
        }
    }

    /** Hosts that exchange messages over a network that loses, delays and repeats them, and that pause and restart. */
    private static final class Network {
        private final UniformRandomProvider random;
        private final List<QuotaLending> hosts = new ArrayList<>();
        private final List<QuotaShares.Share> inForce = new ArrayList<>();
        private final List<Runnable> late = new ArrayList<>();
        private final long[] pausedUntilNanos;
        private final boolean[] busy;
        private long nowNanos;
        private int grantsTaken;

        private final ConfigState config;

        Network(int hostCount, int quotaInFlight, long seed) {
            random = random(seed);
            config = config(hostCount, 1001, quotaInFlight);
            nowNanos = random.nextLong();
            pausedUntilNanos = new long[hostCount];
            busy = new boolean[hostCount];
            for (int i = 0; i < hostCount; i++) {
                hosts.add(newProcess(i));
                inForce.add(null);
                publish(i);
                pausedUntilNanos[i] = nowNanos;
            }
        }

        private QuotaLending newProcess(int host) {
            QuotaLending process = QuotaLendings.halfOfUnused(host(host), () -> nowNanos, random(random.nextLong()));
            process.configure(config);
            return process;
        }

        /** A paused host keeps the shares that it last put in force. */
        private void publish(int host) {
            inForce.set(host, hosts.get(host).shares().shares().get(TEAM));
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
                publish(host);
            }
            if (nowNanos - pausedUntilNanos[host] >= 0) {
                tick(host);
            }
            while (!late.isEmpty() && random.nextBoolean()) {
                late.remove(random.nextInt(late.size())).run();
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
                            publish(lender);
                            send(host, () -> accept(host, grant));
                        }));
            });
            publish(host);
        }

        private void accept(int host, LoanGrant grant) {
            hosts.get(host).onGrant(grant);
            publish(host);
            grantsTaken++;
        }

        /** Delivers 0 to 3 times, at once or later; messages to a paused host wait until it resumes. */
        private void send(int to, Runnable message) {
            int copies = random.nextInt(4);
            for (int i = 0; i < copies; i++) {
                deliver(to, message);
            }
        }

        private void deliver(int to, Runnable message) {
            if (nowNanos - pausedUntilNanos[to] < 0 || random.nextInt(3) == 0) {
                late.add(() -> deliver(to, message));
            } else {
                message.run();
            }
        }

        double startsPerSecond() {
            return inForce.stream()
                    .mapToDouble(share -> share.startsPerSecondAt(nowNanos))
                    .sum();
        }

        int tasksInFlight() {
            return inForce.stream()
                    .mapToInt(share -> share.tasksInFlightAt(nowNanos))
                    .sum();
        }
    }

    private static UniformRandomProvider random(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    @Group
    class Faults {
        /** Guards against a sum above the quota under loss, delay, repetition, pauses and restarts. */
        @Property(tries = 200, seed = "2")
        void sumNeverExceedsTheQuota(
                @ForAll @IntRange(min = 2, max = 9) int hosts, @ForAll boolean withReserve, @ForAll long seed) {
            int quotaInFlight = withReserve ? 5_003 : 103;
            Network network = new Network(hosts, quotaInFlight, seed);
            for (int i = 0; i < 800; i++) {
                network.step();
                // Shares are whole millionths; the tolerance covers the conversion to double only.
                assertThat(network.startsPerSecond()).isLessThanOrEqualTo(1001 + 1e-6);
                assertThat(network.tasksInFlight()).isLessThanOrEqualTo(quotaInFlight);
            }
            assertThat(network.grantsTaken).isPositive();
        }
    }
}
