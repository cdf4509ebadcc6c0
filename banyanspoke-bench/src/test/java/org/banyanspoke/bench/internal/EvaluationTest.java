package org.banyanspoke.bench.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.bench.BenchOptions;
import org.banyanspoke.bench.Load;
import org.banyanspoke.bench.Report;
import org.banyanspoke.bench.Scenario;
import org.banyanspoke.bench.Scenarios;
import org.banyanspoke.bench.Shape;
import org.banyanspoke.bench.internal.JobOutcome.State;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EvaluationTest {
    private static final Load LOAD = Load.steady("team", UrgencyClass.URGENT, 1, 1_000);
    private static final Load FLOOD = Load.flood("flood", UrgencyClass.BACKGROUND, 10, 0);

    @TempDir
    private Path directory;

    private static PlannedJob job(int index, Load load, long arrivalSeconds) {
        return new PlannedJob(index, load, arrivalSeconds * 1_000_000_000, new double[] {100, 100}, new long[2]);
    }

    private static JobOutcome outcome(PlannedJob job, State state, long responseMillis) {
        ErrorKind error = state == State.REFUSED ? ErrorKind.OVERLOADED : null;
        return new JobOutcome(job, state, error, responseMillis * 1_000_000, false);
    }

    private static Measurement.Counts counts(long atSeconds, String ledger, String metrics, long platform)
            throws Exception {
        JsonNode host = Json.mapper().readTree(metrics);
        return new Measurement.Counts(
                atSeconds * 1_000_000_000,
                Duration.ofSeconds(atSeconds / 2),
                List.of(host),
                Json.mapper().readTree(ledger),
                platform);
    }

    /** Evaluates a run that started at 100 s, with 1 s of warm-up and 10 s of measurement. */
    private Evaluation evaluate(String scenario, List<JobOutcome> outcomes, String... ledgerLines) throws Exception {
        Scenario definition = Scenarios.all(Shape.KILIMA).get(scenario);
        BenchOptions options =
                new BenchOptions(directory, definition, Shape.KILIMA, "adaptive", 1, 10, 1, 0.333, false, false);
        Path file = Files.write(directory.resolve("ledger"), List.of(ledgerLines));
        Measurement.Counts before = counts(100, "{\"starts\":0}", "{\"counters\":{\"control.cpuNanos\":0}}", 10);
        Measurement.Counts after = counts(
                120,
                "{\"starts\":100,\"duplicateStarts\":2,\"requests\":{\"TASK\":101,\"STOP\":2,\"HEALTH\":1}}",
                "{\"counters\":{\"control.cpuNanos\":200000000}}",
                14);
        Measurement run = new Measurement(
                Topology.of(definition, Shape.KILIMA, 0.333),
                outcomes.stream().map(JobOutcome::job).toList(),
                outcomes,
                100_000_000_000L,
                before,
                after,
                TaskStartLog.read(file),
                List.of(),
                List.of());
        return new Evaluation(options, run);
    }

    private static String start(String server, long seconds) {
        return "{\"event\":\"start\",\"server\":\"" + server + "\",\"atNanos\":" + seconds * 1_000_000_000 + "}";
    }

    @Nested
    class Jobs {
        /** Guards against warm-up and flood jobs in the results, and against response ratios of incomplete jobs. */
        @Test
        void excludeWarmupAndFlood() throws Exception {
            Report report = evaluate(
                            "flood-low",
                            List.of(
                                    outcome(job(0, LOAD, 0), State.LOST, 9),
                                    outcome(job(1, LOAD, 2), State.COMPLETE, 150),
                                    outcome(job(2, FLOOD, 3), State.COMPLETE, 900),
                                    outcome(job(3, LOAD, 4), State.COMPLETE, 1_001),
                                    outcome(job(4, LOAD, 5), State.REFUSED, 1)))
                    .report(2L);
            assertThat(report.jobs()).isEqualTo(3);
            assertThat(report.responseRatioP50()).isCloseTo(1.5, within(0.002));
            assertThat(report.contractsMet()).isCloseTo(1 / 3.0, within(1e-9));
            assertThat(report.keptServiceRatio()).isEqualTo(0.5);
            assertThat(report.lostTasks()).isEqualTo(2);
            assertThat(report.outcomes()).containsEntry("COMPLETE", 2L).containsEntry("OVERLOADED", 1L);
        }
    }

    @Nested
    class Messages {
        /** Guards against uncounted exchanges: 1 failed start, 2 stops, 1 health check and 4 polls per 100 starts. */
        @Test
        void areWastedUnlessTheyStartATask() throws Exception {
            Report report = evaluate("steady80", List.of()).report(null);
            assertThat(report.wastedMessagesPerTask()).isCloseTo((8 + 8) / 100.0, within(1e-9));
            assertThat(report.duplicateStarts()).isEqualTo(2);
        }
    }

    @Nested
    class Overhead {
        /** Guards against wrong units: 0.2 s of CPU time in 20 s is 1%; 10 s over 3 processes in 20 s is 16.7% each. */
        @Test
        void isInPercentOfACore() throws Exception {
            Report report = evaluate("steady80", List.of()).report(null);
            assertThat(report.controlCpuPercent()).isCloseTo(1.0, within(1e-9));
            assertThat(report.hostCpuPercent()).isCloseTo(16.67, within(0.01));
            assertThat(report.controlBytesPerSecond()).isNull();
        }
    }

    @Nested
    class FailingServer {
        /** Guards against counting starts in the first second after the fault at 103 s, which are permitted. */
        @Test
        void isEvaluatedFromOneSecondAfterTheFault() throws Exception {
            Report report = evaluate(
                            "failing-server",
                            List.of(),
                            start("b0", 103),
                            start("b0", 105),
                            start("b1", 106),
                            start("b2", 107),
                            start("b3", 108))
                    .report(null);
            assertThat(report.shareToFailingServer()).isEqualTo(0.25);
        }
    }
}
