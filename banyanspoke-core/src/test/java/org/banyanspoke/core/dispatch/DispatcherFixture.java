package org.banyanspoke.core.dispatch;

import com.google.common.hash.Hashing;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TaskId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.identity.ProcessIdentity;
import org.banyanspoke.core.quota.QuotaShares;
import org.banyanspoke.core.routing.ServerPool;
import org.banyanspoke.core.routing.ServerPools;
import org.banyanspoke.core.schedule.TaskQueues;

/**
 * Dispatcher with manual clocks and a transport whose attempts are completed by the test; uses the baseline policy by
 * default.
 */
final class DispatcherFixture {
    static final HostId HOST = new HostId("h1");
    static final TeamId TEAM = new TeamId("team");
    static final TeamId OTHER_TEAM = new TeamId("other");
    static final BatchId OTHER_BATCH = new BatchId("other-batch");
    static final BatchId BATCH = new BatchId("batch");
    static final ServerId S1 = new ServerId("s1");
    static final ServerId S2 = new ServerId("s2");
    static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
    static final long PROMISE_MILLIS = 1_000;

    /** Determines the order of tasks and the selection of servers. */
    enum Policy {
        BASELINE,
        ADAPTIVE
    }

    /** Wall clock that is set by the test. */
    static final class WallClock extends Clock {
        Instant now = START;

        @Override
        public ZoneOffset getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(java.time.ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return now;
        }
    }

    final WallClock wallClock = new WallClock();
    final FakeTransport transport = new FakeTransport();
    /** Names of the methods that the dispatcher called on its server pool. */
    final List<String> poolCalls = new ArrayList<>();

    /** Ejections and reinstatements of servers that the dispatcher reported. */
    final List<String> ejections = new ArrayList<>();

    final TaskTransport recordingTransport;
    final Dispatcher dispatcher;
    private UrgencyClass otherUrgency = UrgencyClass.NORMAL;
    long nanos = 1_000;
    private long configNumber;

    DispatcherFixture() {
        this(Policy.BASELINE, Fault.NONE, attempt -> {});
    }

    /** Creates an unconfigured dispatcher, with an injected fault if {@code fault} is not {@code NONE}. */
    DispatcherFixture(Policy policy, Fault fault, Consumer<TaskAttempt> onStart) {
        recordingTransport = recording(onStart);
        dispatcher = Dispatchers.create(
                new ProcessIdentity(HOST, "127.0.0.1:8082", new Incarnation(42)),
                "0123456789abcdef".getBytes(StandardCharsets.UTF_8),
                () -> nanos,
                fault == Fault.IGNORES_CONTRACT ? Clock.fixed(START, ZoneOffset.UTC) : wallClock,
                policy == Policy.BASELINE ? Dispatchers.baselineQueue() : TaskQueues.fairShare(() -> nanos),
                recording(
                        policy == Policy.BASELINE
                                ? Dispatchers.baselinePool(RandomSource.SPLIT_MIX_64.create(7L))
                                : ServerPools.adaptive(HOST, () -> nanos, RandomSource.SPLIT_MIX_64.create(7L))),
                fault.wrap(recordingTransport),
                recordingEvents(),
                DispatcherSettings.DEFAULT);
    }

    private DispatcherListener recordingEvents() {
        return new DispatcherListener() {
            @Override
            public void ejectionChanged(ServerId server, boolean ejected) {
                ejections.add(server + (ejected ? " ejected" : " returned"));
            }
        };
    }

    private ServerPool recording(ServerPool pool) {
        return (ServerPool) Proxy.newProxyInstance(
                ServerPool.class.getClassLoader(), new Class<?>[] {ServerPool.class}, (proxy, method, args) -> {
                    poolCalls.add(method.getName());
                    return method.invoke(pool, args);
                });
    }

    private TaskTransport recording(Consumer<TaskAttempt> onStart) {
        return new TaskTransport() {
            @Override
            public void start(TaskAttempt attempt, Consumer<AttemptResult> onEnd) {
                onStart.accept(attempt);
                transport.start(attempt, onEnd);
            }

            @Override
            public void stop(TaskAttempt attempt) {
                transport.stop(attempt);
            }
        };
    }

    /**
     * Returns a fixture with a configuration, two servers and a quota of 1,000 starts/s and 2,000 tasks in flight.
     */
    static DispatcherFixture configured() {
        DispatcherFixture fixture = new DispatcherFixture();
        fixture.configureDefault();
        return fixture;
    }

    /** Sets the urgency of {@link #OTHER_BATCH}, effective from the next configuration. */
    void setOtherUrgency(UrgencyClass urgency) {
        otherUrgency = urgency;
    }

    void configureDefault() {
        configure(START.plus(Duration.ofHours(1)), S1, S2);
        setQuota(1_000, 2_000);
    }

    void configure(Instant contractExpiry, ServerId... servers) {
        configNumber++;
        dispatcher.configure(new ConfigState(
                configNumber,
                Map.of(TEAM, team(TEAM), OTHER_TEAM, team(OTHER_TEAM)),
                Map.of(
                        BATCH,
                        batch(BATCH, TEAM, UrgencyClass.NORMAL, contractExpiry),
                        OTHER_BATCH,
                        batch(OTHER_BATCH, OTHER_TEAM, otherUrgency, contractExpiry)),
                Arrays.stream(servers).collect(Collectors.toMap(id -> id, DispatcherFixture::server)),
                Map.of(),
                ClassShares.DEFAULT));
    }

    private static BatchConfig batch(BatchId id, TeamId team, UrgencyClass urgency, Instant contractExpiry) {
        return new BatchConfig(id, team, urgency, contractExpiry, PROMISE_MILLIS, Set.of(), Set.of());
    }

    private static TeamConfig team(TeamId id) {
        return new TeamConfig(id, 1, 1_000, 2_000, "");
    }

    private static BackendServerConfig server(ServerId id) {
        return new BackendServerConfig(
                id, new ZoneId("z1"), "r1", "127.0.0.1:9100", 8, 64, Set.of(), ServerState.IN_SERVICE);
    }

    void setQuota(double startsPerSecond, int tasksInFlight) {
        QuotaShares.Share share =
                new QuotaShares.Share(startsPerSecond, tasksInFlight, Long.MAX_VALUE, startsPerSecond);
        dispatcher.setQuotaShares(new QuotaShares(Map.of(TEAM, share, OTHER_TEAM, share)));
    }

    void advanceMillis(long millis) {
        pauseMillis(millis);
        dispatcher.tick();
    }

    /** Advances the clocks without a tick, like a pause of the process. */
    void pauseMillis(long millis) {
        nanos += Duration.ofMillis(millis).toNanos();
        wallClock.now = wallClock.now.plusMillis(millis);
    }

    JobId reserve() throws Exception {
        return dispatcher.reserve(TEAM, 1).get(0);
    }

    Caller submit(JobId id, JobRequest request) throws Exception {
        Caller caller = new Caller();
        dispatcher.submit(submission(id, request), caller);
        return caller;
    }

    static Submission submission(JobId id, JobRequest request) {
        return new Submission(
                TEAM, id, request, Hashing.sha256().hashString(request.toString(), StandardCharsets.UTF_8));
    }

    static JobRequest job(int tasks, boolean idempotent) {
        List<TaskSpec> specs = IntStream.range(0, tasks)
                .mapToObj(i -> new TaskSpec(new TaskId("t" + i), "p" + i, 100, idempotent))
                .toList();
        return new JobRequest(BATCH, specs, 0);
    }

    /** Caller that collects the answers that it receives. */
    static final class Caller implements Consumer<JobAnswer> {
        final List<JobAnswer> answers = new ArrayList<>();

        @Override
        public void accept(JobAnswer answer) {
            answers.add(answer);
        }

        JobAnswer only() {
            if (answers.size() != 1) {
                throw new AssertionError("expected one answer, got " + answers);
            }
            return answers.get(0);
        }
    }
}
