package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.PoolListener;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerCommands.Status;
import org.banyanspoke.core.pool.TaskKey;
import org.junit.jupiter.api.Test;

/** Guards against an error in a log line or a metric that interrupts the pool in the middle of a change of its state. */
class CompositePoolListenerTest {
    private static final RunKey RUN = new RunKey(new TaskKey(new CallerJobId("00000000000000aa"), 0), 1);

    private final List<Status> received = new ArrayList<>();

    private final PoolListener failing = new PoolListener() {
        @Override
        public void onStartRefused(RunKey run, ServerId server, Status status) {
            throw new IllegalStateException("simulated error in a listener");
        }
    };
    private final PoolListener recording = new PoolListener() {
        @Override
        public void onStartRefused(RunKey run, ServerId server, Status status) {
            received.add(status);
        }
    };

    @Test
    void callsTheOtherListenersAfterAnUnexpectedError() {
        PoolListener listener =
                new CompositePoolListener(List.of(failing, recording), new ErrorGuard(System::nanoTime));
        listener.onStartRefused(RUN, new ServerId("s1"), Status.TOO_LATE);
        assertThat(received).containsExactly(Status.TOO_LATE);
    }
}
