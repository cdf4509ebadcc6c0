package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.core.config.ConfigTracker;
import org.banyanspoke.daemon.control.FakeLog;
import org.banyanspoke.daemon.control.TicketOutcome;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/**
 * Guards against ticket outcomes that are not linearizable. The state of one host is confined to its control thread, so
 * the concurrent object under test is three hosts with one log.
 */
@Param(name = "host", gen = IntGen.class, conf = "0:2")
@Param(name = "number", gen = IntGen.class, conf = "1:3")
@Param(name = "ticket", gen = IntGen.class, conf = "1:2")
public class TicketLinearizabilityTest {
    private static final int HOSTS = 3;
    private static final int RETAINED_TICKETS = 100;
    /** Strong reference, because the logging system holds loggers weakly. */
    private static final Logger MUTED_LOGGER = Logger.getLogger(ConfigHolder.class.getName());

    private static final List<Scheduler> CONTROL_THREADS = Stream.generate(TicketLinearizabilityTest::controlThread)
            .limit(HOSTS)
            .toList();

    private final FakeLog log = new FakeLog();
    private final List<Host> hosts =
            CONTROL_THREADS.stream().map(thread -> new Host(log, thread)).toList();

    /** Injects a lost response into the first append, after its record is stored. */
    public TicketLinearizabilityTest() {
        log.failAppends(FakeLog.AppendFault.RESPONSE_LOST, 1);
    }

    private static Scheduler controlThread() {
        return Schedulers.from(Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "control");
            thread.setDaemon(true);
            return thread;
        }));
    }

    /** The ticket components of one entry host. */
    private static final class Host {
        private final ConfigHolder config = new ConfigHolder(new ConfigTracker(RETAINED_TICKETS));
        private final Scheduler thread;
        private final LogReader reader;
        private final TicketAppender appender;

        Host(FakeLog log, Scheduler thread) {
            this.thread = thread;
            this.reader = new LogReader(log, config, thread, accepted -> {});
            this.appender = new TicketAppender(log, reader, config, thread, System::nanoTime);
        }

        TicketOutcome.State append(Ticket ticket) {
            return appender.append(ticket).blockingGet().state();
        }

        long number() {
            return reader.readToEnd()
                    .subscribeOn(thread)
                    .andThen(Single.fromSupplier(() -> config.state().number()))
                    .blockingGet();
        }
    }

    /** An operator sends a ticket through a host. */
    @Operation
    public TicketOutcome.State append(
            @Param(name = "host") int host, @Param(name = "number") int number, @Param(name = "ticket") int ticket) {
        Ticket.Put put = new Ticket.Put(null, null, null, null, ClassShares.DEFAULT);
        return hosts.get(host).append(new Ticket(number, "t" + ticket, "lincheck", put, null));
    }

    /** A host reads the log and returns its configuration number. */
    @Operation
    public long number(@Param(name = "host") int host) {
        return hosts.get(host).number();
    }

    /** Sequential specification: the next number is accepted from any host. */
    public static class SequentialSpecification {
        private final Map<Integer, Integer> accepted = new HashMap<>();

        /** See {@link TicketLinearizabilityTest#append}. */
        public TicketOutcome.State append(int host, int number, int ticket) {
            if (number > accepted.size() + 1) {
                return TicketOutcome.State.INVALID;
            }
            int winner = accepted.computeIfAbsent(number, key -> ticket);
            return winner == ticket ? TicketOutcome.State.ACCEPTED : TicketOutcome.State.CONFLICT;
        }

        /** See {@link TicketLinearizabilityTest#number}. */
        public long number(int host) {
            return accepted.size();
        }
    }

    @Test
    void outcomesAndNumbersFollowOneOrder() {
        MUTED_LOGGER.setLevel(Level.OFF);
        new StressOptions()
                .threads(HOSTS)
                .actorsPerThread(3)
                .actorsBefore(1)
                .actorsAfter(1)
                .iterations(10)
                .invocationsPerIteration(100)
                .sequentialSpecification(SequentialSpecification.class)
                .check(TicketLinearizabilityTest.class);
    }
}
