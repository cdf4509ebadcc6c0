package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a process that stays alive but no longer does part of its work after one unexpected error. */
class ErrorGuardTest {
    private final ErrorGuard guard = new ErrorGuard(() -> 1);

    @Test
    void runsTheStepsAfterOneThatFails() {
        List<String> done = new ArrayList<>();
        boolean first = guard.run("first", () -> {
            throw new IllegalStateException("simulated");
        });
        boolean second = guard.run("second", () -> done.add("second"));
        assertThat(first).isFalse();
        assertThat(second).isTrue();
        assertThat(done).containsExactly("second");
    }
}
