package org.banyanspoke.bench.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the memory usage of another JVM on this machine. */
final class ProcessMemory {
    private static final Pattern RESIDENT_PATTERN = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    /** Last line of a class histogram: "Total", number of objects, number of bytes. */
    private static final Pattern HISTOGRAM_TOTAL_PATTERN = Pattern.compile("Total\\s+\\d+\\s+(\\d+)");

    private static final double KILOBYTES_PER_MEGABYTE = 1_024;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    private ProcessMemory() {}

    /**
     * Returns the resident set size in MB.
     *
     * @throws IOException if the process has exited
     */
    static double residentMegabytes(long pid) throws IOException {
        String status = Files.readString(Path.of("/proc/" + pid + "/status"));
        return matchNumber(RESIDENT_PATTERN, status, "status of process " + pid) / KILOBYTES_PER_MEGABYTE;
    }

    /**
     * Triggers a full garbage collection in the process and returns the size of the live objects in MB.
     *
     * @throws IOException if the process does not respond
     */
    static double liveHeapMegabytes(long pid) throws IOException, InterruptedException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process process = new ProcessBuilder(jcmd, String.valueOf(pid), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String histogram = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        process.waitFor();
        return matchNumber(HISTOGRAM_TOTAL_PATTERN, histogram, "class histogram of process " + pid)
                / BYTES_PER_MEGABYTE;
    }

    private static double matchNumber(Pattern pattern, String text, String source) throws IOException {
        Matcher matcher = pattern.matcher(text);
        if (!matcher.find()) {
            throw new IOException("no match for " + pattern + " in the " + source);
        }
        return Double.parseDouble(matcher.group(1));
    }
}
