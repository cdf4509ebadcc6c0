package org.banyanspoke.scenarios.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Executes a short fault run; use {@code bin/fault-run} for longer ones. */
class FaultRunTest {
    /** Kills a host, slows the log, freezes a server and shuts a host down gracefully while its zone is cut off. */
    private static final long SEED = 3;

    private static final long RUN_MILLIS = 14_000;

    private static Path home() {
        Path directory = Path.of("").toAbsolutePath();
        while (!Files.exists(directory.resolve("bin/banyanspoked"))) {
            directory = directory.getParent();
        }
        return directory;
    }

    /** Guards against violations under overlapping faults; with this seed a graceful shutdown once aborted requests. */
    @Test
    @Timeout(180)
    void violatesNoRule() throws Exception {
        FaultRun.Result result = new FaultRun(home(), SEED, RUN_MILLIS).run();
        assertThat(result.schedule()).extracting(PlannedFault::kind).contains(FaultKind.STOP_HOST, FaultKind.CUT_ZONE);
        assertThat(result.violations()).as("faults %s", result.schedule()).isEmpty();
    }
}
