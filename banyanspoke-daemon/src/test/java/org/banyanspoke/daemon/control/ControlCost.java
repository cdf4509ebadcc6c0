package org.banyanspoke.daemon.control;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Measures the resource usage of the control plane per node: starts N control services in this process, connected over
 * loopback with the real transport, waits for steady state and prints one JSON line. The platform's log and host list
 * are in memory and not counted. Run by {@code bin/control-cost}.
 */
final class ControlCost {
    /** Size of Ethernet, IP and TCP headers with options, added to each write. */
    private static final int HEADER_BYTES = 66;

    private static final long SETTLE_SECONDS = 15;
    private static final long LIVE_LIMIT_MILLIS = 120_000;
    private static final long PROPAGATION_LIMIT_MILLIS = 20_000;

    private ControlCost() {}

    private record Sample(long nanos, long cpuNanos, long bytes, long writes) {
        static Sample now() throws IOException {
            OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            List<String> lines = Files.readAllLines(Path.of("/proc/self/io"));
            return new Sample(
                    System.nanoTime(), system.getProcessCpuTime(), value(lines, "wchar:"), value(lines, "syscw:"));
        }

        private static long value(List<String> lines, String name) {
            return lines.stream()
                    .filter(line -> line.startsWith(name))
                    .mapToLong(
                            line -> Long.parseLong(line.substring(name.length()).strip()))
                    .sum();
        }
    }

    /** Arguments: number of members, seconds to measure. */
    public static void main(String[] arguments) throws Exception {
        int members = Integer.parseInt(arguments[0]);
        long seconds = Long.parseLong(arguments[1]);
        try (TestCluster cluster = new TestCluster(members)) {
            cluster.startAll();
            cluster.append("h1", cluster.roster());
            TestCluster.await(
                    LIVE_LIMIT_MILLIS,
                    () -> IntStream.rangeClosed(1, members).allMatch(host -> seesAll(cluster, host, members)));
            TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
            Sample before = Sample.now();
            TimeUnit.SECONDS.sleep(seconds);
            Sample after = Sample.now();
            long heapBytes = heapBytes();
            long startNanos = System.nanoTime();
            cluster.append("h1", TestCluster.weight(2, "t2", 2));
            TestCluster.await(
                    PROPAGATION_LIMIT_MILLIS,
                    () -> IntStream.rangeClosed(1, members)
                            .allMatch(host -> cluster.host("h" + host).config().number() >= 2));
            print(members, before, after, heapBytes, System.nanoTime() - startNanos);
        }
        System.exit(0);
    }

    private static boolean seesAll(TestCluster cluster, int host, int members) {
        List<MemberView> seen = cluster.host("h" + host).members();
        return seen.size() >= members && seen.stream().allMatch(m -> m.liveness() == MemberView.Liveness.LIVE);
    }

    private static long heapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static void print(int members, Sample before, Sample after, long heapBytes, long propagationNanos) {
        double seconds = (after.nanos() - before.nanos()) / 1e9;
        double cpuPercent = 100 * (after.cpuNanos() - before.cpuNanos()) / 1e9 / seconds / members;
        double bytesPerSecond = (after.bytes() - before.bytes()) / seconds / members;
        double writesPerSecond = (after.writes() - before.writes()) / seconds / members;
        System.out.printf(
                "{\"members\": %d, \"cpuPercentPerNode\": %.3f, \"payloadBytesPerSecondPerNode\": %.0f,"
                        + " \"bytesPerSecondWithHeadersPerNode\": %.0f, \"heapKilobytesPerNode\": %.0f,"
                        + " \"ticketEverywhereSeconds\": %.2f}%n",
                members,
                cpuPercent,
                bytesPerSecond,
                bytesPerSecond + writesPerSecond * HEADER_BYTES,
                heapBytes / 1_024.0 / members,
                propagationNanos / 1e9);
    }
}
