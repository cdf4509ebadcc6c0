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
    private final List<String> done = new ArrayList<>();

    @BeforeEach
    void setUp() {
        journalFile = directory.resolve("runs.jsonl");
    }

    private static List<BenchOptions> plan() {
        BenchOptions steady =
                BenchOptions.of(Path.of("."), "steady80", Shape.KILIMA, "adaptive", 1, 8.0, null, 0.333, false);
        return RunKey.plan(List.of(steady), List.of(1L, 2L, 3L), List.of("baseline", "adaptive"));
    }

    private Report run(BenchOptions options) {
        done.add(options.seed() + " " + options.policy());
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
        return new Experiment(plan(), runner, new LoadGate(() -> 2, Double.POSITIVE_INFINITY, 0), journal).call();
    }

    @Nested
    class Order {
        /** Guards against policies that are compared under different states of the machine. */
        @Test
        void runsThePoliciesOfOneSeedBackToBack() throws Exception {
            call(RunJournal.create(journalFile), ExperimentTest.this::run);
            assertThat(done)
                    .containsExactly(
                            "1 baseline", "1 adaptive", "2 baseline", "2 adaptive", "3 baseline", "3 adaptive");
        }
    }

    @Nested
    class Resume {
        /** Guards against a run whose line was cut off and that then counts as done, or spoils the next line. */
        @Test
        void repeatsTheRunWhoseLineIsCutOff() throws Exception {
            call(RunJournal.create(journalFile), ExperimentTest.this::run);
            String whole = Files.readString(journalFile);
            Files.writeString(journalFile, whole.substring(0, whole.length() - 20));
            done.clear();
            call(RunJournal.resume(journalFile), ExperimentTest.this::run);
            assertThat(done).containsExactly("3 adaptive");
            assertThat(RunJournal.resume(journalFile).records()).hasSize(6);
        }

        /** Guards against a failed run that ends the experiment or counts as done. */
        @Test
        void repeatsAFailedRun() throws Exception {
            List<String> failures = call(RunJournal.create(journalFile), options -> {
                if (options.seed() == 2) {
                    throw new IOException("no port");
                }
                return run(options);
            });
            assertThat(failures).hasSize(2);
            assertThat(done).hasSize(4);
            done.clear();
            assertThat(call(RunJournal.resume(journalFile), ExperimentTest.this::run))
                    .isEmpty();
            assertThat(done).containsExactly("2 baseline", "2 adaptive");
        }

        /** Guards against results that a second experiment overwrites. */
        @Test
        void isNeededForAnExistingJournal() throws Exception {
            RunJournal.create(journalFile);
            assertThatThrownBy(() -> RunJournal.create(journalFile)).isInstanceOf(FileAlreadyExistsException.class);
        }
    }

    @Nested
    class Table {
        /** Guards against columns that are swapped or a ratio the wrong way round. */
        @Test
        void hasLeastMedianLargestAndTheRatioToTheBaseline() throws Exception {
            RunJournal journal = RunJournal.create(journalFile);
            call(journal, ExperimentTest.this::run);
            String text = new ExperimentTable(journal.records(), List.of("baseline", "adaptive")).text();
            assertThat(text)
                    .contains("| figure | baseline | adaptive | ratio of medians |")
                    .contains("| `responseRatioP99` | 4.000 / 8.000 / 12.000 | 1.000 / 2.000 / 3.000 | 0.250 |")
                    .contains("1 (2.0), 2 (2.0), 3 (2.0)");
        }
    }

    @Nested
    class Gate {
        /** Guards against an experiment that waits for ever on a machine that stays busy. */
        @Test
        void opensAfterTheLongestWait() throws Exception {
            assertThat(new LoadGate(() -> 50, 1, 20).await()).isEqualTo(50);
        }
    }
}
