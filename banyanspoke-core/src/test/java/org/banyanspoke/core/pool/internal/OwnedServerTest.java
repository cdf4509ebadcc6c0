package org.banyanspoke.core.pool.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.CallerContact;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.PoolSettings;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerCommands;
import org.banyanspoke.core.pool.ServerCommands.EndKind;
import org.banyanspoke.core.pool.ServerCommands.RenewReply;
import org.banyanspoke.core.pool.ServerCommands.Reply;
import org.banyanspoke.core.pool.ServerCommands.StartCommand;
import org.banyanspoke.core.pool.ServerCommands.Status;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.TaskKey;
import org.banyanspoke.core.pool.TaskRequirements;
import org.banyanspoke.core.time.MonotonicClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against replies of an earlier process of a server that count as those of its present one. */
class OwnedServerTest {
    private static final long LEASE_MILLIS = 1_000;
    private static final long FIRST_START_MILLIS = 100;
    private static final long SECOND_START_MILLIS = 200;
    private static final CallerJobId JOB = new CallerJobId("00000000000000aa");

    private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(5_000);
    private final PoolSettings settings = new PoolSettings(LEASE_MILLIS, 1, 150, 250, LEASE_MILLIS);
    private final RecordedCommands commands = new RecordedCommands();
    private final OwnedServer server = new OwnedServer(
            descriptor(FIRST_START_MILLIS),
            commands,
            settings,
            clock,
            new ServerLease(settings, clock, clock, CallerContact.ALWAYS),
            new ClaimingListener());
    private int runs;

    /** Commands whose replies are delivered by the test. */
    private static final class RecordedCommands implements ServerCommands {
        private StartCommand lastStart;
        private Consumer<Reply> onStartReply;
        private Consumer<RenewReply> onRenewReply;

        @Override
        public void start(ServerDescriptor server, StartCommand command, Consumer<Reply> onReply) {
            lastStart = command;
            onStartReply = onReply;
        }

        @Override
        public void stop(ServerDescriptor server, StopCommand command, Consumer<Reply> onReply) {
            // Stays without a reply.
        }

        @Override
        public void renew(ServerDescriptor server, RenewCommand command, Consumer<RenewReply> onReply) {
            onRenewReply = onReply;
        }
    }

    /** Claims a restarted server with the next token. */
    private static final class ClaimingListener implements OwnedServerListener {
        private long token = 1;

        @Override
        public void startRefused(OwnedServer server, Run run, Status status) {
            // Not checked here.
        }

        @Override
        public void runEnded(OwnedServer server, Run run, EndKind kind) {
            // Not checked here.
        }

        @Override
        public void capacityFreed(OwnedServer server) {
            // Not checked here.
        }

        @Override
        public void fenced(OwnedServer server) {
            // Does not occur here.
        }

        @Override
        public void restarted(OwnedServer server) {
            token++;
            server.claim(token);
        }

        @Override
        public void stateChanged(OwnedServer server, String state, String reason) {
            // Not checked here.
        }
    }

    private static ServerDescriptor descriptor(long startTimeMillis) {
        return new ServerDescriptor(
                new ServerId("s1"),
                "service",
                "10.0.0.1:1",
                new ZoneId("a"),
                List.of("kind"),
                16_000,
                32_000,
                0,
                false,
                startTimeMillis);
    }

    private void startRun() {
        PooledJob job = new PooledJob(
                JOB,
                new QueuePolicy("q", "service", 0, 3, 1.6, 60),
                "",
                4,
                new TaskRequirements(1_000, 1, 0, 100, "", "", 0),
                0,
                60_000);
        JobProgress progress = new JobProgress(job, 0, 60_000, 60_000);
        runs++;
        server.start(new Run(new RunKey(new TaskKey(JOB, runs), 1), progress, clock.millis(), 100), "");
    }

    private void answerClaim(long clockMillis, long startTimeMillis) {
        commands.onRenewReply.accept(new RenewReply(Status.OK, clockMillis, startTimeMillis, List.of(), List.of()));
    }

    @Nested
    class AfterARestart {
        private Consumer<Reply> onEarlierStartReply;

        @BeforeEach
        void restartWhileAStartIsInProgress() {
            server.claim(1);
            answerClaim(500_000, FIRST_START_MILLIS);
            startRun();
            onEarlierStartReply = commands.onStartReply;
            server.updateDescriptor(descriptor(SECOND_START_MILLIS));
            answerClaim(10, SECOND_START_MILLIS);
            assertThat(server.isUsable()).isTrue();
        }

        @Test
        void staysUsableWhenAnEarlierStartCommandFindsTheRestart() {
            onEarlierStartReply.accept(new Reply(Status.RESTARTED, 0));
            assertThat(server.isUsable()).isTrue();
            assertThat(server.runCount()).isZero();
        }

        /** The deadline of the next start command would be minutes too late. */
        @Test
        void ignoresTheClockOfTheEarlierProcess() {
            onEarlierStartReply.accept(new Reply(Status.OK, 500_050));
            startRun();
            assertThat(commands.lastStart.deadlineMillis()).isLessThanOrEqualTo(10 + LEASE_MILLIS);
        }

        @Test
        void namesTheNewStartTimeInStartCommands() {
            startRun();
            assertThat(commands.lastStart.serverStartTimeMillis()).isEqualTo(SECOND_START_MILLIS);
        }
    }
}
