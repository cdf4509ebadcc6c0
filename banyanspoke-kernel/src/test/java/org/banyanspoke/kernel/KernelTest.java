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
        /** Guards against a service that is still running after a service it depends on has stopped. */
        @Test
        void stopsInReverseOrder() throws Exception {
            register("a", false);
            register("b", false);
            kernel.start();
            kernel.stop();
            assertThat(events).containsExactly("start a", "start b", "stop b", "stop a");
        }

        /** Guards against ports that stay open after a partial start. */
        @Test
        void stopsStartedServicesAfterAStartFailure() {
            register("a", false);
            register("b", true);
            assertThatThrownBy(kernel::start).hasMessage("b cannot start");
            assertThat(events).containsExactly("start a", "stop a");
        }
    }

    @Nested
    class Lookup {
        /** Guards against a service that silently replaces another of the same name. */
        @Test
        void rejectsADuplicateName() {
            register("a", false);
            assertThatThrownBy(() -> register("a", false)).hasMessageContaining("already registered");
        }

        /** Guards against a null result that fails only on first use. */
        @Test
        void failsForAnUnknownName() {
            assertThatThrownBy(() -> kernel.lookup(new ServiceName<>("missing", Recorder.class)))
                    .hasMessageContaining("\"missing\"");
        }
    }
}
