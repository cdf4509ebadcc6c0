package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against input that is taken for read after the process was suspended. */
class InputProgressTest {
    private long nowMillis = 10_000;
    private final InputProgress input = new InputProgress(this::nanos, this::nanos);

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private void pass(long millis) {
        InputProgress.Moment start = new InputProgress.Moment(nanos(), nowMillis);
        nowMillis += millis;
        input.recordPass(start);
    }

    @Test
    void anIdleEventLoopIsNotBehind() {
        for (int i = 0; i < 10; i++) {
            pass(60);
            assertThat(input.isBehind()).isFalse();
            assertThat(input.isCatchingUp()).isFalse();
        }
    }

    @Nested
    class AfterASuspension {
        @BeforeEach
        void suspendWhileWaitingForInput() {
            pass(20);
            pass(20);
            pass(2_400);
        }

        @Test
        void theTimersOfTheInterruptedPassSeeUnreadInput() {
            assertThat(input.behindMillis()).isEqualTo(2_420);
            assertThat(TimeUnit.NANOSECONDS.toMillis(input.readUntilNanos())).isEqualTo(nowMillis - 2_420);
        }

        /** Data is read in the first pass; that its connection was closed behind it is detected in the second. */
        @Test
        void inputIsReadAfterTwoPasses() {
            pass(1);
            assertThat(input.isBehind()).isTrue();
            pass(1);
            assertThat(input.isBehind()).isFalse();
        }

        @Test
        void connectionsThatWaitedToBeAcceptedAreReadLater() {
            pass(1);
            pass(1);
            assertThat(input.isCatchingUp()).isTrue();
            for (int i = 0; i < 10; i++) {
                pass(60);
            }
            assertThat(input.isCatchingUp()).isFalse();
        }
    }

    @Test
    void anActionRunsAfterTwoPassesThatStartedLater() {
        List<Long> runs = new ArrayList<>();
        pass(20);
        input.afterReading(() -> runs.add(nowMillis));
        pass(1);
        assertThat(runs).isEmpty();
        pass(1);
        assertThat(runs).hasSize(1);
        pass(1);
        assertThat(runs).hasSize(1);
    }

    /** An exception that leaves a pass ends the event loop, and the process no longer serves. */
    @Test
    void anEventLoopThatRejectsActionsGoesOnReading() throws Exception {
        RejectingExecutor executor = new RejectingExecutor();
        IoHandler handler = input.observe(unused -> new IdleHandler()).newHandler(executor);
        input.afterReading(() -> {});
        executor.rejecting = true;
        assertThat(handler.run(null)).isEqualTo(IdleHandler.HANDLED);
        nowMillis += 20;
        assertThat(handler.run(null)).isEqualTo(IdleHandler.HANDLED);
    }

    /** Rejects tasks like an event loop that is shutting down. */
    private static final class RejectingExecutor implements ThreadAwareExecutor {
        private boolean rejecting;

        @Override
        public boolean isExecutorThread(Thread thread) {
            return true;
        }

        @Override
        public void execute(Runnable task) {
            if (rejecting) {
                throw new RejectedExecutionException("shut down");
            }
        }
    }

    /** Handles the same number of events in each pass. */
    private static final class IdleHandler implements IoHandler {
        private static final int HANDLED = 3;

        @Override
        public int run(IoHandlerContext context) {
            return HANDLED;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void wakeup() {}

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return false;
        }
    }
}
