package org.banyanspoke.scenarios.faults;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.scenarios.cluster.Callers;
import org.banyanspoke.scenarios.cluster.Contract;
import org.banyanspoke.scenarios.cluster.HistoryRecorder;
import org.banyanspoke.scenarios.cluster.TestCluster;
import org.banyanspoke.scenarios.history.History;
import org.banyanspoke.scenarios.history.HistoryChecker;

/** Runs a test cluster under continuous load, injects scheduled faults, heals them and checks the history. */
public final class FaultRun {
    /** Number of availability zones over which {@link TestCluster} spreads hosts and servers. */
    public static final int ZONES = 3;

    private static final int HOSTS = 4;
    private static final int SERVERS = 8;
    private static final int CALLER_COUNT = 10;
    private static final int FINAL_JOBS = 12;
    private static final int THREAD_COUNT = 24;
    private static final long OBSERVATION_INTERVAL_MILLIS = 500;
    private static final long CONFIG_CONVERGENCE_TIMEOUT_MILLIS = 5_000;
    private static final long COMPLETION_TIMEOUT_MILLIS = 90_000;

    private final Path home;
    private final long seed;
    private final long runMillis;
    private final HistoryRecorder recorder = new HistoryRecorder();
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREAD_COUNT);
    private final AtomicBoolean loadEnabled = new AtomicBoolean(true);

    /**
     * The result of a run.
     *
     * @param violations violations by rule name; empty if the run passed
     * @param history the events of all observers
     * @param schedule the injected faults
     * @param jobsByOutcome number of jobs by their outcome for the caller
     * @param outputTails last output lines of each process
     */
    public record Result(
            Map<String, List<String>> violations,
            History history,
            List<PlannedFault> schedule,
            Map<String, ?> jobsByOutcome,
            String outputTails) {}

    /**
     * @param home directory that holds {@code bin}
     * @param seed determines the schedule and the load
     * @param runMillis length of the fault schedule
     */
    public FaultRun(Path home, long seed, long runMillis) {
        this.home = home;
        this.seed = seed;
        this.runMillis = runMillis;
    }

    /**
     * Executes the run and checks the history.
     *
     * @throws Exception if the processes do not start or cannot be controlled
     */
    public Result run() throws Exception {
        List<PlannedFault> schedule = FaultSchedule.generate(seed, runMillis, HOSTS, ZONES, SERVERS);
        try (TestCluster cluster = new TestCluster(home, HOSTS, SERVERS, recorder);
                Callers callers = new Callers(cluster, recorder)) {
            cluster.start();
            Map<String, List<String>> violations = new LinkedHashMap<>();
            List<Future<?>> load = startLoad(callers);
            Future<?> observer = executor.scheduleWithFixedDelay(
                    () -> observe(cluster), 0, OBSERVATION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            List<String> failedFaults = runFaults(schedule, new FaultInjector(cluster, callers));
            addViolations(violations, "faults begin and end as planned", failedFaults);
            healAllFaults(cluster);
            addViolations(violations, "one configuration after healing", checkConfigurationsConverged(cluster));
            loadEnabled.set(false);
            addViolations(violations, "callers get their answers", awaitCallers(load, callers));
            addViolations(violations, "new jobs complete after healing", submitFinalJobs(callers));
            observer.cancel(true);
            cluster.hostIndexes().forEach(host -> observe(cluster, host, true));
            cluster.recordLedger(callers.resultByTask());
            violations.putAll(new HistoryChecker().check(recorder.history()));
            return new Result(violations, recorder.history(), schedule, callers.jobsByOutcome(), cluster.outputTails());
        } finally {
            executor.shutdownNow();
        }
    }

    private static void addViolations(Map<String, List<String>> violations, String rule, List<String> found) {
        if (!found.isEmpty()) {
            violations.put(rule, found);
        }
    }

    private List<Future<?>> startLoad(Callers callers) {
        List<Future<?>> load = new ArrayList<>();
        for (int i = 0; i < CALLER_COUNT; i++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1 + i);
            Contract contract = i % 2 == 0 ? Contract.MAIN : Contract.OTHER;
            load.add(executor.submit(() -> submitJobsRepeatedly(callers, contract, random)));
        }
        return load;
    }

    private Void submitJobsRepeatedly(Callers callers, Contract contract, UniformRandomProvider random)
            throws Exception {
        while (loadEnabled.get()) {
            int concurrentSubmissions = 1 + random.nextInt(3);
            callers.call(
                    contract,
                    1 + random.nextInt(20),
                    20 + random.nextInt(300),
                    random.nextBoolean(),
                    random.nextInt(HOSTS),
                    concurrentSubmissions);
        }
        return null;
    }

    private List<String> runFaults(List<PlannedFault> schedule, FaultInjector injector) throws InterruptedException {
        List<String> failed = new ArrayList<>();
        Map<PlannedFault, Future<?>> running = new LinkedHashMap<>();
        for (PlannedFault fault : schedule) {
            running.put(
                    fault,
                    executor.schedule(() -> injectAndHeal(fault, injector), fault.atMillis(), TimeUnit.MILLISECONDS));
        }
        running.forEach((fault, future) -> {
            try {
                future.get(runMillis + COMPLETION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            } catch (Exception e) {
                failed.add(fault + ": " + e);
            }
        });
        return failed;
    }

    private static Void injectAndHeal(PlannedFault fault, FaultInjector injector) throws Exception {
        long startNanos = System.nanoTime();
        injector.inject(fault);
        long remainingMillis = fault.durationMillis() - (System.nanoTime() - startNanos) / 1_000_000;
        Thread.sleep(Math.max(0, remainingMillis));
        injector.heal(fault);
        return null;
    }

    private static void healAllFaults(TestCluster cluster) throws Exception {
        cluster.openAllLinks();
        cluster.changeLog(Map.of("outage", "none", "slowMillis", 0, "loseAnswers", 0));
        for (int host = 0; host < cluster.hosts(); host++) {
            cluster.resumeHost(host);
        }
        for (int server = 0; server < cluster.servers(); server++) {
            cluster.changeServer(server, Map.of("down", false, "frozen", false, "failEverything", false));
        }
    }

    /** Checks that all hosts report the same configuration number within 5 s. */
    private static List<String> checkConfigurationsConverged(TestCluster cluster) throws InterruptedException {
        long endNanos = System.nanoTime() + CONFIG_CONVERGENCE_TIMEOUT_MILLIS * 1_000_000;
        List<Long> numbers = configNumbers(cluster);
        while (!haveConverged(numbers) && System.nanoTime() < endNanos) {
            Thread.sleep(50);
            numbers = configNumbers(cluster);
        }
        return haveConverged(numbers)
                ? List.of()
                : List.of("configuration numbers 5 s after all faults were healed: " + numbers);
    }

    private static boolean haveConverged(List<Long> numbers) {
        return numbers.stream().distinct().count() == 1 && numbers.get(0) > 0;
    }

    private static List<Long> configNumbers(TestCluster cluster) throws InterruptedException {
        List<Long> numbers = new ArrayList<>();
        for (int host = 0; host < cluster.hosts(); host++) {
            numbers.add(cluster.observeConfig(host, false));
        }
        return numbers;
    }

    private static List<String> awaitCallers(List<Future<?>> load, Callers callers) throws InterruptedException {
        try {
            for (Future<?> future : load) {
                future.get(COMPLETION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            }
            callers.awaitAll();
            return List.of();
        } catch (ExecutionException | TimeoutException e) {
            return List.of(e.toString());
        }
    }

    private static List<String> submitFinalJobs(Callers callers) throws Exception {
        List<String> incomplete = new ArrayList<>();
        for (int i = 0; i < FINAL_JOBS; i++) {
            String outcome = callers.call(Contract.MAIN, 10, 50, true, i, 1);
            if (!outcome.equals("complete")) {
                incomplete.add("job submitted through host " + i % HOSTS + " ended with " + outcome);
            }
        }
        return incomplete;
    }

    private static void observe(TestCluster cluster) {
        cluster.hostIndexes().forEach(host -> observe(cluster, host, false));
    }

    private static void observe(TestCluster cluster, int host, boolean reachable) {
        try {
            cluster.observeConfig(host, reachable);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
