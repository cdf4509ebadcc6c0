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

/** One run: load all the time, faults from a schedule, then everything is healed and the history is judged. */
public final class FaultRun {
    /** Hosts and servers are spread over this many zones by {@link TestCluster}. */
    public static final int ZONES = 3;

    private static final int HOSTS = 4;
    private static final int SERVERS = 8;
    private static final int CALLERS = 10;
    private static final int FINAL_JOBS = 12;
    private static final int THREADS = 24;
    private static final long OBSERVE_MILLIS = 500;
    private static final long CONFIG_LIMIT_MILLIS = 5_000;
    private static final long END_LIMIT_MILLIS = 90_000;

    private final Path home;
    private final long seed;
    private final long runMillis;
    private final HistoryRecorder recorder = new HistoryRecorder();
    private final ScheduledExecutorService threads = Executors.newScheduledThreadPool(THREADS);
    private final AtomicBoolean loadOn = new AtomicBoolean(true);

    /**
     * What a run found.
     *
     * @param violations by rule; empty if the run is green
     * @param history the joined history
     * @param schedule the faults
     * @param ends number of jobs by how they ended for their callers
     * @param outputs last lines of each process
     */
    public record Result(
            Map<String, List<String>> violations,
            History history,
            List<PlannedFault> schedule,
            Map<String, ?> ends,
            String outputs) {}

    /**
     * @param home directory that holds {@code bin}
     * @param seed decides the faults
     * @param runMillis time during which faults happen
     */
    public FaultRun(Path home, long seed, long runMillis) {
        this.home = home;
        this.seed = seed;
        this.runMillis = runMillis;
    }

    /**
     * Runs and judges.
     *
     * @throws Exception if the processes do not start or cannot be controlled
     */
    public Result run() throws Exception {
        List<PlannedFault> schedule = FaultSchedule.draw(seed, runMillis, HOSTS, ZONES, SERVERS);
        try (TestCluster cluster = new TestCluster(home, HOSTS, SERVERS, recorder);
                Callers callers = new Callers(cluster, recorder)) {
            cluster.start();
            Map<String, List<String>> violations = new LinkedHashMap<>();
            List<Future<?>> load = startLoad(callers);
            Future<?> observer =
                    threads.scheduleWithFixedDelay(() -> observe(cluster), 0, OBSERVE_MILLIS, TimeUnit.MILLISECONDS);
            List<String> failedFaults = runFaults(schedule, new FaultInjector(cluster, callers));
            put(violations, "faults begin and end as planned", failedFaults);
            heal(cluster);
            put(violations, "one configuration after healing", oneConfiguration(cluster));
            loadOn.set(false);
            put(violations, "callers get their answers", awaitEnds(load, callers));
            put(violations, "new jobs complete after healing", newJobs(callers));
            observer.cancel(true);
            cluster.allHosts().forEach(host -> observe(cluster, host, true));
            cluster.recordLedger(callers.resultByTask());
            violations.putAll(new HistoryChecker().check(recorder.history()));
            return new Result(violations, recorder.history(), schedule, callers.ends(), cluster.outputs());
        } finally {
            threads.shutdownNow();
        }
    }

    private static void put(Map<String, List<String>> violations, String rule, List<String> found) {
        if (!found.isEmpty()) {
            violations.put(rule, found);
        }
    }

    private List<Future<?>> startLoad(Callers callers) {
        List<Future<?>> load = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1 + i);
            Contract contract = i % 2 == 0 ? Contract.MAIN : Contract.OTHER;
            load.add(threads.submit(() -> callAgainAndAgain(callers, contract, random)));
        }
        return load;
    }

    private Void callAgainAndAgain(Callers callers, Contract contract, UniformRandomProvider random) throws Exception {
        while (loadOn.get()) {
            int copies = 1 + random.nextInt(3);
            callers.call(
                    contract,
                    1 + random.nextInt(20),
                    20 + random.nextInt(300),
                    random.nextBoolean(),
                    random.nextInt(HOSTS),
                    copies);
        }
        return null;
    }

    private List<String> runFaults(List<PlannedFault> schedule, FaultInjector injector) throws InterruptedException {
        List<String> failed = new ArrayList<>();
        Map<PlannedFault, Future<?>> running = new LinkedHashMap<>();
        for (PlannedFault fault : schedule) {
            running.put(
                    fault,
                    threads.schedule(() -> beginAndEnd(fault, injector), fault.atMillis(), TimeUnit.MILLISECONDS));
        }
        running.forEach((fault, future) -> {
            try {
                future.get(runMillis + END_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
            } catch (Exception e) {
                failed.add(fault + ": " + e);
            }
        });
        return failed;
    }

    private static Void beginAndEnd(PlannedFault fault, FaultInjector injector) throws Exception {
        long beginNanos = System.nanoTime();
        injector.begin(fault);
        long leftMillis = fault.durationMillis() - (System.nanoTime() - beginNanos) / 1_000_000;
        Thread.sleep(Math.max(0, leftMillis));
        injector.end(fault);
        return null;
    }

    private static void heal(TestCluster cluster) throws Exception {
        cluster.openAllLinks();
        cluster.changeLog(Map.of("outage", "none", "slowMillis", 0, "loseAnswers", 0));
        for (int host = 0; host < cluster.hosts(); host++) {
            cluster.continueHost(host);
        }
        for (int server = 0; server < cluster.servers(); server++) {
            cluster.changeServer(server, Map.of("down", false, "frozen", false, "failEverything", false));
        }
    }

    /** Every host shows the same number within 5 s. */
    private static List<String> oneConfiguration(TestCluster cluster) throws InterruptedException {
        long endNanos = System.nanoTime() + CONFIG_LIMIT_MILLIS * 1_000_000;
        List<Long> numbers = numbers(cluster);
        while (!agree(numbers) && System.nanoTime() < endNanos) {
            Thread.sleep(50);
            numbers = numbers(cluster);
        }
        return agree(numbers) ? List.of() : List.of("configuration numbers 5 s after healing: " + numbers);
    }

    private static boolean agree(List<Long> numbers) {
        return numbers.stream().distinct().count() == 1 && numbers.get(0) > 0;
    }

    private static List<Long> numbers(TestCluster cluster) throws InterruptedException {
        List<Long> numbers = new ArrayList<>();
        for (int host = 0; host < cluster.hosts(); host++) {
            numbers.add(cluster.observeConfig(host, false));
        }
        return numbers;
    }

    private static List<String> awaitEnds(List<Future<?>> load, Callers callers) throws InterruptedException {
        try {
            for (Future<?> future : load) {
                future.get(END_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
            }
            callers.awaitAll();
            return List.of();
        } catch (ExecutionException | TimeoutException e) {
            return List.of(e.toString());
        }
    }

    private static List<String> newJobs(Callers callers) throws Exception {
        List<String> unfinished = new ArrayList<>();
        for (int i = 0; i < FINAL_JOBS; i++) {
            String end = callers.call(Contract.MAIN, 10, 50, true, i, 1);
            if (!end.equals("complete")) {
                unfinished.add("job through host " + i % HOSTS + " ended with " + end);
            }
        }
        return unfinished;
    }

    private static void observe(TestCluster cluster) {
        cluster.allHosts().forEach(host -> observe(cluster, host, false));
    }

    private static void observe(TestCluster cluster, int host, boolean reachable) {
        try {
            cluster.observeConfig(host, reachable);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
