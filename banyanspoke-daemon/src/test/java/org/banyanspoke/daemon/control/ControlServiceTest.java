package org.banyanspoke.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import com.google.common.hash.Hashing;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobCounts;
import org.banyanspoke.api.job.JobState;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.core.config.ConfigSnapshot;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;
import org.banyanspoke.core.identity.JobArchive;
import org.banyanspoke.core.quota.QuotaShares;
import org.banyanspoke.daemon.control.TicketOutcome.State;
import org.banyanspoke.daemon.platform.ListedHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class ControlServiceTest {
    private static final TeamId TEAM = new TeamId("a");

    private TestCluster cluster;

    @BeforeEach
    void create() throws Exception {
        cluster = new TestCluster(3);
    }

    @AfterEach
    void close() throws Exception {
        cluster.close();
    }

    private JobId job(String host, Incarnation incarnation, long sequence) {
        return new JobId(new HostId(host), cluster.address(host), incarnation, 0, sequence, 0);
    }

    private static ForwardRequest submission(JobId job, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return new ForwardRequest(ForwardRequest.Action.SUBMIT, TEAM, job, bytes, true, 0);
    }

    private ErrorKind failure(String host, ForwardRequest request) {
        Throwable thrown =
                catchThrowable(() -> cluster.host(host).forward(request, 3_000).blockingGet());
        assertThat(thrown).hasCauseInstanceOf(DispatchException.class);
        return ((DispatchException) thrown.getCause()).kind();
    }

    /** Echoes forwarded requests and records quota shares. */
    private static final class StubDispatch implements LocalDispatch {
        private final List<QuotaShares> shares = new CopyOnWriteArrayList<>();
        private final double wanted;

        StubDispatch(double wanted) {
            this.wanted = wanted;
        }

        @Override
        public Single<ForwardReply> handle(ForwardRequest request) {
            return Single.just(new ForwardReply(200, request.body(), 0));
        }

        @Override
        public Completable applyShares(QuotaShares latest) {
            return Completable.fromAction(() -> shares.add(latest));
        }

        @Override
        public Single<Map<TeamId, TeamDemand>> demand() {
            return Single.just(Map.of(TEAM, new TeamDemand(Math.min(wanted, 100), wanted, (int) wanted, (int) wanted)));
        }

        double startsPerSecond() {
            return shares.isEmpty()
                    ? 0
                    : shares.get(shares.size() - 1).shares().get(TEAM).startsPerSecond();
        }
    }

    @Nested
    class Appends {
        @BeforeEach
        void start() throws Exception {
            cluster.startAll();
            assertThat(cluster.append("h1", cluster.roster())).isEqualTo(State.ACCEPTED);
        }

        /** Guards against two operators both being told that their ticket was accepted. */
        @Test
        void oneOfTwoOperatorsWithOneNumberGetsAConflict() {
            Ticket alice = TestCluster.weight(2, "alice", 2);
            Ticket bob = TestCluster.weight(2, "bob", 3);
            List<State> states = Single.zip(
                            cluster.host("h1").appendTicket(alice),
                            cluster.host("h2").appendTicket(bob),
                            (a, b) -> List.of(a.state(), b.state()))
                    .blockingGet();
            assertThat(states).containsExactlyInAnyOrder(State.ACCEPTED, State.CONFLICT);
        }

        /** Guards against an accepted ticket being reported as failed, or applied twice by the retry. */
        @Test
        void lostResponseAndLostRequestAreResolved() throws Exception {
            cluster.log.failAppends(FakeLog.AppendFault.RESPONSE_LOST, 1);
            assertThat(cluster.append("h1", TestCluster.weight(2, "t2", 2))).isEqualTo(State.ACCEPTED);
            cluster.log.failAppends(FakeLog.AppendFault.REQUEST_LOST, 2);
            assertThat(cluster.append("h1", TestCluster.weight(3, "t3", 3))).isEqualTo(State.ACCEPTED);
            assertThat(cluster.append("h1", TestCluster.weight(3, "t3", 3))).isEqualTo(State.ACCEPTED);
            cluster.awaitNumber("h2", 3);
            assertThat(cluster.host("h2").config().number()).isEqualTo(3);
        }

        /** Guards against reporting a ticket as not applied when its record may be on the log. */
        @Test
        void unreadableLogGivesAnUnknownOutcomeThatIsResolvedLater() {
            cluster.log.setReadable(false);
            cluster.log.failAppends(FakeLog.AppendFault.RESPONSE_LOST, 100);
            Ticket ticket = TestCluster.weight(2, "t2", 2);
            assertThat(cluster.append("h1", ticket)).isEqualTo(State.UNKNOWN);
            int copies = cluster.log.size();
            assertThat(copies).isGreaterThan(2);
            cluster.log.setReadable(true);
            assertThat(cluster.append("h1", ticket)).isEqualTo(State.ACCEPTED);
            assertThat(cluster.host("h1").config().number()).isEqualTo(2);
        }

        /** Guards against an unknown outcome for a number below a snapshot, which could never be resolved. */
        @Test
        void numberBelowASnapshotIsTaken() throws Exception {
            assertThat(cluster.append("h1", TestCluster.weight(2, "t2", 2))).isEqualTo(State.ACCEPTED);
            ConfigSnapshot snapshot = ConfigSnapshot.of(cluster.host("h1").config(), cluster.log.size());
            for (String host : List.of("h1", "h2", "h3")) {
                cluster.stop(host);
            }
            cluster.log.expireAll();
            cluster.log
                    .append(Json.mapper()
                            .createObjectNode()
                            .set("snapshot", Json.mapper().valueToTree(snapshot)))
                    .blockingSubscribe();
            cluster.start("h3", cluster.log);
            cluster.awaitNumber("h3", 2);
            assertThat(cluster.append("h3", TestCluster.weight(1, "other", 3))).isEqualTo(State.CONFLICT);
            assertThat(cluster.append("h3", TestCluster.weight(2, "other", 3))).isEqualTo(State.CONFLICT);
        }

        /** Guards against an operator waiting for a ticket that was never appended. */
        @Test
        void unreachableLogAndInvalidTicketAreNotApplied() {
            assertThat(cluster.append("h1", TestCluster.weight(2, "t2", 0))).isEqualTo(State.INVALID);
            assertThat(cluster.append("h1", TestCluster.weight(4, "t4", 1))).isEqualTo(State.INVALID);
            cluster.log.setDown(true);
            assertThat(cluster.append("h1", TestCluster.weight(2, "t2", 2))).isEqualTo(State.LOG_UNAVAILABLE);
            assertThat(cluster.log.size()).isEqualTo(1);
        }
    }

    @Nested
    class Dissemination {
        /** Guards against a ticket that does not take effect on every host within the target of 5 s. */
        @Test
        void ticketsReachEveryHostAndSnapshotsAreWritten() throws Exception {
            cluster.startWithRoster();
            for (int number = 2; number <= 102; number++) {
                assertThat(cluster.append("h1", TestCluster.weight(number, "t" + number, number)))
                        .isEqualTo(State.ACCEPTED);
            }
            for (String host : List.of("h1", "h2", "h3")) {
                cluster.awaitNumber(host, 102);
            }
            TestCluster.await(15_000, cluster.log::hasSnapshot);
        }

        /** Guards against a new host that cannot become ready while the log is down or its old records have expired. */
        @Test
        void newHostStartsFromPeers() throws Exception {
            cluster.start("h1", cluster.log);
            cluster.append("h1", cluster.roster());
            FakeLog down = new FakeLog();
            down.setDown(true);
            cluster.start("h2", down);
            cluster.log.expireAll();
            cluster.start("h3", cluster.log);
            for (String host : List.of("h2", "h3")) {
                TestCluster.await(5_000, () -> cluster.host(host).readiness().ready());
                assertThat(cluster.host(host).config())
                        .isEqualTo(cluster.host("h1").config());
                assertThat(cluster.host(host).configSource()).isEqualTo("peer");
            }
        }

        /** Guards against a state at the design size that exceeds the message limit or is altered in transit. */
        @Test
        void stateAtTheDesignSizeIsPulledCompletely() throws Exception {
            cluster.start("h1", cluster.log);
            assertThat(cluster.append("h1", DesignSize.ticket(1))).isEqualTo(State.ACCEPTED);
            FakeLog down = new FakeLog();
            down.setDown(true);
            cluster.start("h2", down);
            cluster.awaitNumber("h2", 1);
            assertThat(cluster.host("h2").config()).isEqualTo(cluster.host("h1").config());
            assertThat(cluster.host("h2").config().servers()).hasSize(760);
        }

        /** Guards against a host without a source of configuration accepting jobs. */
        @Test
        void hostWithoutSourceIsNotReady() throws Exception {
            cluster.log.setDown(true);
            ControlService alone = cluster.start("h2", cluster.log);
            Thread.sleep(3_000);
            assertThat(alone.readiness().ready()).isFalse();
        }

        /**
         * Guards against a partitioned host reverting to an older configuration, or not catching up after the
         * partition.
         */
        @Test
        void partitionedHostCatchesUpAndNeverReverts() throws Exception {
            FakeLog unreachable = new FakeLog();
            unreachable.setDown(true);
            cluster.start("h1", cluster.log);
            cluster.append("h1", cluster.roster());
            cluster.start("h2", cluster.log);
            cluster.start("h3", unreachable);
            cluster.awaitNumber("h3", 1);
            List<Long> seen = new CopyOnWriteArrayList<>();
            var unused = cluster.host("h3").configs().subscribe(config -> seen.add(config.number()));
            cluster.partition("h3", true);
            cluster.append("h1", TestCluster.weight(2, "t2", 2));
            cluster.append("h1", TestCluster.weight(3, "t3", 3));
            Thread.sleep(2_500);
            assertThat(cluster.host("h3").config().number()).isEqualTo(1);
            assertThat(cluster.host("h3").readiness().ready()).isTrue();
            cluster.partition("h3", false);
            TestCluster.await(20_000, () -> cluster.host("h3").config().number() == 3);
            assertThat(seen).isSorted().doesNotHaveDuplicates();
        }

        /** Guards against a leaving backend server being known only to hosts that read the host list. */
        @Test
        void leavingServersOfTheHostListReachEveryHost() throws Exception {
            cluster.startWithRoster();
            ServerId server = new ServerId("s1");
            cluster.list(new ListedHost("s1", ListedHost.Role.BACKEND, ListedHost.State.LEAVING));
            for (String host : List.of("h1", "h2", "h3")) {
                TestCluster.await(
                        8_000,
                        () -> cluster.host(host)
                                .leavingServers()
                                .blockingFirst()
                                .contains(server));
            }
        }
    }

    @Nested
    class LeavingServers {
        private static final ServerId SERVER = new ServerId("s1");
        private static final int REPORTS = 10;
        /**
         * If disseminated only with periodic probes, a report takes up to 2 s, on average 0.8 s, to reach both other
         * hosts.
         */
        private static final long LIMIT_MILLIS = 300 * REPORTS;

        /** Guards against a self-reported leaving state that is disseminated only with the next periodic probes. */
        @Test
        void selfReportedLeavingReachesEveryHostAtOnce() throws Exception {
            cluster.startWithRoster();
            long startNanos = System.nanoTime();
            for (int i = 0; i < REPORTS; i++) {
                ServerId server = new ServerId("s" + i);
                cluster.host("h" + (1 + i % 3)).reportLeaving(server, "1");
                TestCluster.await(5_000, () -> isLeavingEverywhere(server));
            }
            assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(LIMIT_MILLIS);
        }

        /**
         * Guards against polling the host list too rarely: a leaving server may get new tasks for a few seconds only.
         */
        @Test
        void changeOfTheHostListReachesEveryHostSoonAfterTheNextPoll() throws Exception {
            cluster.startWithRoster();
            long startNanos = System.nanoTime();
            for (int i = 0; i < REPORTS; i++) {
                ServerId server = new ServerId("s" + i);
                cluster.list(new ListedHost("s" + i, ListedHost.Role.BACKEND, ListedHost.State.LEAVING));
                TestCluster.await(5_000, () -> isLeavingEverywhere(server));
            }
            assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(500 * REPORTS + LIMIT_MILLIS);
        }

        /** Guards against a replaced server that gets no tasks until an operator appends a ticket. */
        @Test
        void newIncarnationEndsLeavingEverywhere() throws Exception {
            startWithServer(new ServerCheck.ServerStatus("1", true));
            cluster.host("h1").reportLeaving(SERVER, "1");
            TestCluster.await(5_000, () -> isLeavingEverywhere(SERVER));
            cluster.serverCheck = address -> Single.just(new ServerCheck.ServerStatus("2", false));
            TestCluster.await(10_000, () -> isLeavingNowhere(SERVER));
        }

        /**
         * Guards against reinstating a server that only the list marks as leaving because it does not report so itself.
         */
        @Test
        void processMarkedByTheListStaysLeavingAndItsSuccessorIsReinstated() throws Exception {
            startWithServer(new ServerCheck.ServerStatus("1", false));
            cluster.list(new ListedHost("s1", ListedHost.Role.BACKEND, ListedHost.State.LEAVING));
            TestCluster.await(5_000, () -> isLeavingEverywhere(SERVER));
            Thread.sleep(5_000);
            assertThat(isLeavingEverywhere(SERVER)).isTrue();
            cluster.serverCheck = address -> Single.just(new ServerCheck.ServerStatus("2", false));
            TestCluster.await(10_000, () -> isLeavingNowhere(SERVER));
        }

        private void startWithServer(ServerCheck.ServerStatus status) throws Exception {
            cluster.serverCheck = address -> Single.just(status);
            cluster.startWithRoster();
            cluster.append("h1", TestCluster.server(2, "s1", "127.0.0.1:1"));
            cluster.awaitNumber("h2", 2);
            cluster.awaitNumber("h3", 2);
        }

        private boolean isLeavingNowhere(ServerId server) {
            return List.of("h1", "h2", "h3").stream()
                    .noneMatch(host ->
                            cluster.host(host).leavingServers().blockingFirst().contains(server));
        }

        private boolean isLeavingEverywhere(ServerId server) {
            return List.of("h1", "h2", "h3").stream()
                    .allMatch(host ->
                            cluster.host(host).leavingServers().blockingFirst().contains(server));
        }
    }

    @Nested
    class Forwards {
        @BeforeEach
        void start() throws Exception {
            cluster.startWithRoster();
            cluster.host("h2").attach(new StubDispatch(0));
        }

        /** Guards against a request that reaches a process other than the owner. */
        @Test
        void ownerAnswers() {
            ForwardRequest request = submission(job("h2", cluster.incarnation("h2"), 1), "{\"x\":1}");
            ForwardReply reply = cluster.host("h1").forward(request, 3_000).blockingGet();
            assertThat(new String(reply.body(), StandardCharsets.UTF_8)).isEqualTo("{\"x\":1}");
        }

        /** Guards against a job that only its owner's HTTP port accepts: the largest job has 18 MB of payload. */
        @Test
        void ownerAnswersALargeJob() {
            String body = "x".repeat(20 * 1024 * 1024);
            ForwardRequest request = submission(job("h2", cluster.incarnation("h2"), 1), body);
            ForwardReply reply = cluster.host("h1").forward(request, 10_000).blockingGet();
            assertThat(reply.body()).hasSize(body.length());
        }

        /** Guards against a lost owner being reported as one that may come back, and the reverse. */
        @Test
        void stoppedOwnerIsUnreachableAndAReplacedOneIsLost() throws Exception {
            ForwardRequest request = submission(job("h2", cluster.incarnation("h2"), 1), "{}");
            cluster.stop("h2");
            assertThat(failure("h1", request)).isEqualTo(ErrorKind.OWNER_UNREACHABLE);
            cluster.start("h2", cluster.log);
            TestCluster.await(5_000, () -> failure("h1", request) == ErrorKind.OWNER_LOST);
        }

        /** Guards against reporting a partitioned owner, which may still run the job, as lost. */
        @Test
        void partitionedOwnerIsUnreachable() {
            ForwardRequest request = submission(job("h2", cluster.incarnation("h2"), 1), "{}");
            cluster.partition("h2", true);
            assertThat(failure("h1", request)).isEqualTo(ErrorKind.OWNER_UNREACHABLE);
        }

        /** Guards against a forged job id making a host connect to an address outside the roster. */
        @Test
        void addressOutsideTheRosterIsNotContacted() {
            JobId forged = new JobId(new HostId("x"), "127.0.0.1:1", new Incarnation(7), 0, 1, 0);
            assertThat(failure("h1", submission(forged, "{}"))).isEqualTo(ErrorKind.OWNER_UNREACHABLE);
        }

        /** Guards against answers being lost in a graceful shutdown, also when the successor stops later. */
        @Test
        void successorsAnswerFromTheArchive() throws Exception {
            Incarnation stopped = cluster.incarnation("h2");
            JobId used = job("h2", stopped, 1);
            JobAnswer answer = new JobAnswer(used, JobState.COMPLETE, null, new JobCounts(0, 0, 0, 0, 0, 0), List.of());
            JobArchive.Entry entry = new JobArchive.Entry(
                    used, TEAM, Hashing.sha256().hashString("{}", StandardCharsets.UTF_8), answer, true);
            HostId first = leave("h2", new JobArchive(stopped, 0, 0, List.of(entry)));
            String other = first.value().equals("h1") ? "h3" : "h1";
            assertArchiveAnswers(first.value(), used);
            assertArchiveAnswers(other, used);
            JobArchive empty = new JobArchive(cluster.incarnation(first.value()), 0, 0, List.of());
            assertThat(leave(first.value(), empty)).isEqualTo(new HostId(other));
            assertArchiveAnswers(other, used);
        }

        private HostId leave(String host, JobArchive archive) throws Exception {
            Optional<HostId> successor = cluster.host(host).leave(archive).blockingGet();
            cluster.stop(host);
            return successor.orElseThrow();
        }

        private void assertArchiveAnswers(String host, JobId used) {
            ForwardReply known =
                    cluster.host(host).forward(submission(used, "{}"), 3_000).blockingGet();
            assertThat(known.httpStatus()).isEqualTo(200);
            ForwardReply conflict =
                    cluster.host(host).forward(submission(used, "{1}"), 3_000).blockingGet();
            assertThat(new String(conflict.body(), StandardCharsets.UTF_8)).contains("JOB_ID_CONFLICT");
            JobId unused = job("h2", used.incarnation(), 2);
            ForwardReply missing =
                    cluster.host(host).forward(submission(unused, "{}"), 3_000).blockingGet();
            assertThat(new String(missing.body(), StandardCharsets.UTF_8)).contains("UNKNOWN_JOB", "not_run");
        }
    }

    @Nested
    class Load {
        /** Guards against counters that do not advance, and against callers' jobs being counted as control traffic. */
        @Test
        void controlIsCountedAndForwardedJobsAreNot() throws Exception {
            cluster.startWithRoster();
            cluster.host("h2").attach(new StubDispatch(0));
            Thread.sleep(2_000);
            ControlLoad before = cluster.host("h1").load();
            assertThat(before.cpuNanos()).isPositive();
            assertThat(before.heapBytes()).isGreaterThan(3 * 200);
            assertThat(before.peers().messagesSent()).isPositive();
            int bodyBytes = 1_000_000;
            ForwardRequest request = submission(job("h2", cluster.incarnation("h2"), 1), "x".repeat(bodyBytes));
            ForwardReply reply = cluster.host("h1").forward(request, 10_000).blockingGet();
            assertThat(reply.body()).hasSize(bodyBytes);
            Thread.sleep(1_500);
            ControlLoad after = cluster.host("h1").load();
            assertThat(after.peers().messagesSent())
                    .isGreaterThan(before.peers().messagesSent());
            assertThat(after.cpuNanos()).isGreaterThan(before.cpuNanos());
            assertThat(after.peers().controlBytesSent() - before.peers().controlBytesSent())
                    .isBetween(1L, bodyBytes / 10L);
            assertThat(after.peers().controlBytesReceived() - before.peers().controlBytesReceived())
                    .isBetween(1L, bodyBytes / 10L);
        }
    }

    @Nested
    class Loans {
        /** Guards against unused quota of one host being unavailable to another whose demand exceeds its share. */
        @Test
        void busyHostBorrowsAndTheLenderLowersItsShare() throws Exception {
            cluster.startWithRoster();
            StubDispatch busy = new StubDispatch(250);
            StubDispatch idle = new StubDispatch(0);
            cluster.host("h1").attach(busy);
            cluster.host("h2").attach(idle);
            cluster.host("h3").attach(new StubDispatch(0));
            TestCluster.await(20_000, () -> busy.startsPerSecond() > 101);
            TestCluster.await(20_000, () -> idle.startsPerSecond() < 99);
        }
    }
}
