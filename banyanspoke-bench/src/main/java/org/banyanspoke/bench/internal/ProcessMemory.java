package org.banyanspoke.bench.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Memory of another JVM on this machine. */
final class ProcessMemory {
    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    /** Last line of a class histogram: "Total", number of objects, bytes. */
    private static final Pattern TOTAL = Pattern.compile("Total\\s+\\d+\\s+(\\d+)");

    private static final double KILOBYTES_PER_MEGABYTE = 1_024;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    private ProcessMemory() {}

    /**
     * Returns resident memory in MB.
     *
     * @throws IOException if the process has ended
     */
    static double residentMegabytes(long pid) throws IOException {
        String status = Files.readString(Path.of("/proc/" + pid + "/status"));
        return number(RESIDENT, status, "status of process " + pid) / KILOBYTES_PER_MEGABYTE;
    }

    /**
     * Collects garbage in the process and returns the heap in use after it in MB.
     *
     * @throws IOException if the process does not answer
     */
    static double liveHeapMegabytes(long pid) throws IOException, InterruptedException {
        String tool = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process process = new ProcessBuilder(tool, String.valueOf(pid), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String histogram = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        process.waitFor();
        return number(TOTAL, histogram, "class histogram of process " + pid) / BYTES_PER_MEGABYTE;
    }

    private static double number(Pattern pattern, String text, String what) throws IOException {
        Matcher matcher = pattern.matcher(text);
        if (!matcher.find()) {
            throw new IOException("no " + pattern + " in the " + what);
        }
        return Double.parseDouble(matcher.group(1));
    }
}
