package org.banyanspoke.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class KernelTest {
    private final List<String> events = new ArrayList<>();
    private final Kernel kernel = new Kernel();

    private final class Recorder implements Service {
        private final String name;
        private final boolean failsToStart;

        Recorder(String name, boolean failsToStart) {
            this.name = name;
            this.failsToStart = failsToStart;
        }

        @Override
        public void start(Kernel unused) {
            if (failsToStart) {
                throw new IllegalStateException(name + " cannot start");
            }
            events.add("start " + name);
        }

        @Override
        public void stop() {
            events.add("stop " + name);
        }
    }

    private void register(String name, boolean failsToStart) {
        kernel.register(new ServiceName<>(name, Recorder.class), new Recorder(name, failsToStart));
    }

    @Nested
    class Lifecycle {
        /** Guards against a service that outlives one it depends on. */
        @Test
        void stopsInReverseOrder() throws Exception {
            register("a", false);
            register("b", false);
            kernel.start();
            kernel.stop();
            assertThat(events).containsExactly("start a", "start b", "stop b", "stop a");
        }

        /** Guards against ports left open by a process that failed half way through its start. */
        @Test
        void stopsWhatStartedBeforeAFailure() {
            register("a", false);
            register("b", true);
            assertThatThrownBy(kernel::start).hasMessage("b cannot start");
            assertThat(events).containsExactly("start a", "stop a");
        }
    }

    @Nested
    class Lookup {
        /** Guards against two services silently replacing each other. */
        @Test
        void refusesATakenName() {
            register("a", false);
            assertThatThrownBy(() -> register("a", false)).hasMessageContaining("already registered");
        }

        /** Guards against a null service that fails only at its first use. */
        @Test
        void failsForAnUnknownName() {
            assertThatThrownBy(() -> kernel.lookup(new ServiceName<>("missing", Recorder.class)))
                    .hasMessageContaining("\"missing\"");
        }
    }
}
