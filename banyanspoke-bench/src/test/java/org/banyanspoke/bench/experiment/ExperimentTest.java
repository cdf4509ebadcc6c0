package org.banyanspoke.bench.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.banyanspoke.bench.BenchOptions;
import org.banyanspoke.bench.Report;
import org.banyanspoke.bench.Shape;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExperimentTest {
    @TempDir
    private Path directory;

    private Path journalFile;
    private final List<String> executedRuns = new ArrayList<>();

    @BeforeEach
    void setUp() {
        journalFile = directory.resolve("runs.jsonl");
    }

    private static List<BenchOptions> plan() {
        BenchOptions steady =
                BenchOptions.of(Path.of("."), "steady80", Shape.KILIMA, "adaptive", 1, 8.0, null, 0.333, false, false);
        return RunKey.plan(List.of(steady), List.of(1L, 2L, 3L), List.of("baseline", "adaptive"));
    }

    private Report run(BenchOptions options) {
        executedRuns.add(options.seed() + " " + options.policy());
        double p99 = options.seed() * (options.policy().equals("baseline") ? 4 : 1);
        return new Report(
                "steady80",
                options.seed(),
                "kilima",
                options.policy(),
                0.333,
                3,
                11,
                8,
                10,
                50,
                1.0,
                1.1,
                p99,
                0.01,
                Map.of("backend", 0.01),
                null,
                1,
                0,
                0,
                0,
                200,
                null,
                null,
                null,
                20,
                1.5,
                Map.of("COMPLETE", 10L),
                Map.of(),
                null,
                List.of(),
                List.of());
    }

    private List<String> call(RunJournal journal, Experiment.Runner runner) throws IOException, InterruptedException {
        return new Experiment(plan(), runner, new LoadAverageGate(() -> 2, Double.POSITIVE_INFINITY, 0), journal)
                .call();
    }

    @Nested
    class Order {
        /** Guards against a comparison of policies under different machine conditions. */
        @Test
        void runsPoliciesOfOneSeedConsecutively() throws Exception {
            call(RunJournal.create(journalFile), ExperimentTest.this::run);
            assertThat(executedRuns)
                    .containsExactly(
                            "1 baseline", "1 adaptive", "2 baseline", "2 adaptive", "3 baseline", "3 adaptive");
        }
    }

    @Nested
    class Resume {
        /** Guards against a truncated journal line that counts as a completed run or corrupts the next line. */
        @Test
        void repeatsTheRunWithATruncatedLine() throws Exception {
            call(RunJournal.create(journalFile), ExperimentTest.this::run);
            String journal = Files.readString(journalFile);
            Files.writeString(journalFile, journal.substring(0, journal.length() - 20));
            executedRuns.clear();
            call(RunJournal.resume(journalFile), ExperimentTest.this::run);
            assertThat(executedRuns).containsExactly("3 adaptive");
            assertThat(RunJournal.resume(journalFile).records()).hasSize(6);
        }

        /** Guards against a failed run that aborts the experiment or counts as completed. */
        @Test
        void repeatsAFailedRun() throws Exception {
            List<String> failures = call(RunJournal.create(journalFile), options -> {
                if (options.seed() == 2) {
                    throw new IOException("no port");
                }
                return run(options);
            });
            assertThat(failures).hasSize(2);
            assertThat(executedRuns).hasSize(4);
            executedRuns.clear();
            assertThat(call(RunJournal.resume(journalFile), ExperimentTest.this::run))
                    .isEmpty();
            assertThat(executedRuns).containsExactly("2 baseline", "2 adaptive");
        }

        /** Guards against a second experiment that overwrites the results of the first. */
        @Test
        void isRequiredForAnExistingJournal() throws Exception {
            RunJournal.create(journalFile);
            assertThatThrownBy(() -> RunJournal.create(journalFile)).isInstanceOf(FileAlreadyExistsException.class);
        }
    }

    @Nested
    class Table {
        /** Guards against swapped columns and an inverted ratio. */
        @Test
        void hasMinMedianMaxAndTheRatioToTheBaseline() throws Exception {
            RunJournal journal = RunJournal.create(journalFile);
            call(journal, ExperimentTest.this::run);
            String text = new ExperimentTable(journal.records(), List.of("baseline", "adaptive")).toMarkdown();
            assertThat(text)
                    .contains("| figure | baseline | adaptive | ratio of medians |")
                    .contains("| `responseRatioP99` | 4.000 / 8.000 / 12.000 | 1.000 / 2.000 / 3.000 | 0.250 |")
                    .contains("1 (2.0), 2 (2.0), 3 (2.0)");
        }
    }

    @Nested
    class Gate {
        /** Guards against an experiment that waits indefinitely on a busy machine. */
        @Test
        void opensAfterTheMaximumWait() throws Exception {
            assertThat(new LoadAverageGate(() -> 50, 1, 20).await()).isEqualTo(50);
        }
    }
}
