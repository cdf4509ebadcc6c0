package org.banyanspoke.host.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.banyanspoke.host.standins.Eventually;
import org.banyanspoke.host.standins.HostUnderTest;
import org.banyanspoke.host.standins.ResendingCaller;
import org.banyanspoke.host.standins.ResendingCaller.Job;
import org.banyanspoke.host.standins.TestSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Suspends entry hosts in random series that overlap, while the jobs of a full zone run in another one and callers send
 * jobs again. Guards against two runs of a task at the same time for suspensions of any length and number.
 *
 * <p>Odd seeds have one host in each of two zones, even ones two. By default runs seeds 2 and 5, of which 5 failed before jobs needed contact with their callers;
 * {@code bin/soak-suspensions} runs others.
 */
class SuspensionSoakTest {
    private static final List<Long> SEEDS = Seeds.parse(System.getProperty("suspension.seeds", "2,5"));
    private static final int EPISODES = Integer.getInteger("suspension.episodes", 3);
    private static final long RECOVERY_MILLIS = 30_000;

    private static final int CAPACITY_MILLICORES = 16_000;
    private static final int TASK_MILLICORES = 8_000;
    private static final int SERVERS_OF_FULL_ZONE = 2;
    private static final int SERVERS_OF_OTHER_ZONE = 4;
    private static final int SLOTS_OF_FULL_ZONE = SERVERS_OF_FULL_ZONE * CAPACITY_MILLICORES / TASK_MILLICORES;

    private static final int JOBS = 6;
    private static final long JOB_MILLIS = 900;
    private static final long[] DEADLINES_MILLIS = {1_500, 5_000};
    private static final long STARTED_MILLIS = 300;
    private static final int MAX_SERIES = 3;
    private static final int MAX_OFFSET_MILLIS = 600;
    /** Within a series, hosts run for only a few passes of their event loops. */
    private static final int MAX_GAP_MILLIS = 60;

    private static final int MIN_SUSPENDED_MILLIS = 1_200;
    private static final int MAX_SUSPENDED_MILLIS = 3_600;
    /** In one of this many episodes, a host other than the dispatcher of the other zone is suspended, too. */
    private static final int OTHERS_SUSPENDED_DIVISOR = 3;

    private final List<HostUnderTest> fullZone = new ArrayList<>();
    private final List<HostUnderTest> otherZone = new ArrayList<>();
    private TestSite site;
    private int jobs;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    static List<Long> allSeeds() {
        return SEEDS;
    }

    @AfterEach
    void stopAndVerify() throws Exception {
        site.closeAndVerify();
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("allSeeds")
    void runsNoTaskTwiceAtTheSameTime(long seed) throws Exception {
        startSite(seed % 2 == 1 ? 1 : 2);
        Random random = new Random(seed);
        int completed = 0;
        for (int episode = 0; episode < EPISODES; episode++) {
            completed += play(seed, random);
            Eventually.within(RECOVERY_MILLIS, site::isServing, "the site has recovered");
        }
        System.out.printf(
                "seed %d: %d jobs, %d completed, violations %s, in %s%n",
                seed, jobs, completed, site.violations(), folder);
        assertThat(site.violations()).isEmpty();
    }

    private void startSite(int hostsPerZone) throws Exception {
        site = new TestSite(folder, CAPACITY_MILLICORES, TASK_MILLICORES);
        site.start();
        site.addServers("a", SERVERS_OF_OTHER_ZONE);
        site.addServers("b", SERVERS_OF_FULL_ZONE);
        for (int i = 0; i < hostsPerZone; i++) {
            otherZone.add(site.startHost("other-" + i, "a", 1.0));
        }
        for (int i = 0; i < hostsPerZone; i++) {
            fullZone.add(site.startHost("full-" + i, "b", 1.0));
        }
        site.awaitServing();
    }

    /** Plays one episode and returns the number of completed jobs. */
    private int play(long seed, Random random) throws Exception {
        ResendingCaller callers = new ResendingCaller();
        send(callers, seed, random, SLOTS_OF_FULL_ZONE, 2_000 + random.nextInt(800), 5_000);
        Thread.sleep(STARTED_MILLIS);
        for (int i = 0; i < JOBS; i++) {
            send(callers, seed, random, 1, JOB_MILLIS, DEADLINES_MILLIS[random.nextInt(DEADLINES_MILLIS.length)]);
        }
        Thread.sleep(STARTED_MILLIS);
        List<Thread> suspenders = new ArrayList<>();
        for (HostUnderTest host : site.hosts()) {
            boolean dispatchesForOthers = otherZone.contains(host) && host.metric("dispatcher_round") > 0;
            if (dispatchesForOthers || random.nextInt(OTHERS_SUSPENDED_DIVISOR) == 0) {
                Random ownRandom = new Random(random.nextLong());
                Thread thread = new Thread(() -> suspendInSeries(host, ownRandom));
                thread.start();
                suspenders.add(thread);
            }
        }
        for (Thread thread : suspenders) {
            thread.join();
        }
        return (int)
                callers.join().values().stream().filter(status -> status == 200).count();
    }

    private void send(
            ResendingCaller callers, long seed, Random random, int tasks, long runMillis, long deadlineMillis) {
        Job job = new Job("%08x%08x".formatted(seed, jobs++), tasks, TASK_MILLICORES, runMillis, deadlineMillis);
        callers.send(job, fullZone.get(random.nextInt(fullZone.size())), fullZone.get(random.nextInt(fullZone.size())));
    }

    private static void suspendInSeries(HostUnderTest host, Random random) {
        try {
            Thread.sleep(random.nextInt(MAX_OFFSET_MILLIS));
            int series = 1 + random.nextInt(MAX_SERIES);
            int totalMillis = MIN_SUSPENDED_MILLIS + random.nextInt(MAX_SUSPENDED_MILLIS - MIN_SUSPENDED_MILLIS);
            for (int i = 0; i < series; i++) {
                host.signal("STOP");
                Thread.sleep(totalMillis / series);
                host.signal("CONT");
                Thread.sleep(1 + random.nextInt(MAX_GAP_MILLIS));
            }
        } catch (IOException e) {
            throw new IllegalStateException(host.name() + " cannot be suspended", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
