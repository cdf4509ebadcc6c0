package org.banyanspoke.scenarios.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.banyanspoke.api.errors.Execution;
import org.banyanspoke.api.job.JobState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class HistoryCheckerTest {
    private final HistoryChecker checker = new HistoryChecker();

    private static final Event SUBMITTED = new Event.Submitted(0, "r1", "j1", List.of("t1"), List.of("t1"));
    private static final Event STARTED = new Event.Started(1, "s1", "j1", "t1");
    private static final Event FINISHED = new Event.Finished(2, "s1", "j1", "t1", "x");
    private static final Event COMPLETE = complete(3, "r1", "j1", Map.of("t1", "x"));

    private static Event complete(long atMillis, String request, String job, Map<String, String> results) {
        return new Event.Answered(atMillis, request, job, JobState.COMPLETE, null, results);
    }

    private static Event refused(long atMillis, String request) {
        return new Event.Answered(atMillis, request, null, null, Execution.NOT_RUN, Map.of());
    }

    /** Returns pairs of a rule and a history that violates it, at least one for each rule. */
    static Stream<Arguments> violatingHistories() {
        return Stream.of(
                violating("starts at most once", SUBMITTED, STARTED, STARTED, FINISHED, COMPLETE),
                violating("non-idempotent at most once", SUBMITTED, STARTED, STARTED, FINISHED, COMPLETE),
                violating("whole or failed", SUBMITTED, STARTED, FINISHED, complete(3, "r1", "j1", Map.of())),
                violating("every request ends", SUBMITTED, STARTED, FINISHED),
                violating("answers belong to their request", SUBMITTED, complete(3, "r1", "j2", Map.of("t1", "x"))),
                violating(
                        "answers belong to their request",
                        SUBMITTED,
                        STARTED,
                        FINISHED,
                        complete(3, "r1", "j1", Map.of("t1", "y"))),
                violating("not run means not run", SUBMITTED, STARTED, refused(3, "r1")),
                violating(
                        "leaving server gets nothing",
                        new Event.Leaving(0, "s1"),
                        new Event.Started(3_001, "s1", "j1", "t1")),
                violating(
                        "leaving server gets nothing",
                        new Event.Leaving(0, "s1"),
                        new Event.InService(1_000, "s1"),
                        new Event.Leaving(2_000, "s1"),
                        new Event.Started(5_001, "s1", "j1", "t1")),
                violating(
                        "leaving server gets nothing",
                        new Event.Leaving(0, "s1"),
                        new Event.InService(1_000, "s2"),
                        new Event.Started(3_001, "s1", "j1", "t1")),
                violating(
                        "planned stop cuts nothing",
                        SUBMITTED,
                        new Event.PlannedStop(1, "h1"),
                        new Event.ConnectionLost(2, "r1", "h1")),
                violating(
                        "planned stop cuts nothing",
                        SUBMITTED,
                        new Event.PlannedStop(1, "h1"),
                        new Event.HostKilled(2, "h2"),
                        new Event.HostStarted(3, "h3"),
                        new Event.ConnectionLost(4, "r1", "h1")),
                violating(
                        "planned stop cuts nothing",
                        SUBMITTED,
                        new Event.PlannedStop(1, "h1"),
                        new Event.HostStarted(2, "h1"),
                        new Event.PlannedStop(3, "h1"),
                        new Event.ConnectionLost(4, "r1", "h1")),
                violating(
                        "configuration never reverts",
                        new Event.ConfigSeen(0, "h1", 2, true),
                        new Event.ConfigSeen(1, "h1", 1, true)),
                violating(
                        "configuration never reverts",
                        new Event.TicketAccepted(0, 1, "a"),
                        new Event.TicketAccepted(1, 1, "b")),
                violating(
                        "configuration is in force",
                        new Event.TicketAccepted(0, 2, "a"),
                        new Event.ConfigSeen(5_001, "h1", 1, true)));
    }

    private static Arguments violating(String rule, Event... events) {
        return Arguments.of(rule, new History(List.of(events)));
    }

    @Nested
    class Rejects {
        /** Guards against a rule that accepts every history. */
        @ParameterizedTest(name = "{0}")
        @MethodSource("org.banyanspoke.scenarios.history.HistoryCheckerTest#violatingHistories")
        void aHistoryThatViolatesTheRule(String rule, History history) {
            assertThat(checker.check(history)).containsKey(rule);
        }

        /** Guards against a rule without a violating history in {@link #violatingHistories}. */
        @Test
        void aViolationOfEveryRule() {
            assertThat(violatingHistories().map(a -> a.get()[0]).distinct())
                    .containsExactlyInAnyOrderElementsOf(checker.ruleNames());
        }
    }

    @Nested
    class Accepts {
        /** Guards against false positives in a run with a refusal, a lost response and a resubmission. */
        @Test
        void aValidHistory() throws Exception {
            History history = new History(List.of(
                    SUBMITTED,
                    new Event.ConnectionLost(1, "r1", "h1"),
                    STARTED,
                    FINISHED,
                    new Event.Submitted(3, "r2", "j1", List.of("t1"), List.of()),
                    refused(4, "r2"),
                    new Event.Submitted(5, "r3", "j1", List.of("t1"), List.of()),
                    complete(6, "r3", "j1", Map.of("t1", "x")),
                    new Event.Leaving(10, "s2"),
                    new Event.Started(3_000, "s2", "j2", "t1"),
                    new Event.TicketAccepted(20, 1, "a"),
                    new Event.ConfigSeen(5_020, "h1", 0, true),
                    new Event.ConfigSeen(9_000, "h2", 0, false)));
            assertThat(checker.check(History.parse(history.toJsonLines().lines().toList())))
                    .isEmpty();
        }

        /** Guards against false positives after events that end a graceful shutdown or a server's leaving state. */
        @Test
        void aHistoryWithKilledAndReplacedHostsAndReturnedServers() {
            History history = new History(List.of(
                    SUBMITTED,
                    new Event.PlannedStop(1, "h1"),
                    new Event.HostKilled(2, "h1"),
                    new Event.ConnectionLost(3, "r1", "h1"),
                    new Event.PlannedStop(4, "h2"),
                    new Event.HostStarted(5, "h2"),
                    new Event.Submitted(6, "r2", "j1", List.of("t1"), List.of()),
                    new Event.ConnectionLost(7, "r2", "h2"),
                    new Event.Submitted(8, "r3", "j1", List.of("t1"), List.of()),
                    refused(9, "r3"),
                    new Event.Leaving(10, "s1"),
                    new Event.InService(20, "s1"),
                    new Event.Started(3_011, "s1", "j2", "t1")));
            assertThat(checker.check(history)).isEmpty();
        }
    }
}
