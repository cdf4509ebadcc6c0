package org.banyanspoke.bench.internal;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process that the bench started, and ends by its handle. */
final class ManagedProcess {
    private final Process process;

    private ManagedProcess(Process process) {
        this.process = process;
    }

    /**
     * Starts a process.
     *
     * @param command program and arguments
     * @param javaOptions value of JAVA_OPTS
     * @param output receives standard output and error
     * @throws IOException if the program cannot be started
     */
    static ManagedProcess start(List<String> command, String javaOptions, Path output) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .redirectInput(new File("/dev/null"));
        builder.environment().put("JAVA_OPTS", javaOptions);
        ManagedProcess managed = new ManagedProcess(builder.start());
        Runtime.getRuntime().addShutdownHook(new Thread(managed::kill, "end " + command.get(0)));
        return managed;
    }

    /** Asks the process to stop (SIGTERM). */
    void terminate() {
        process.destroy();
    }

    /** Ends the process at once. */
    void kill() {
        process.destroyForcibly();
    }

    /** Waits for the end; returns whether it came in time. */
    boolean awaitEnd(long limitMillis) throws InterruptedException {
        return process.waitFor(limitMillis, TimeUnit.MILLISECONDS);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Returns the processor time used so far. */
    Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the process id. */
    long pid() {
        return process.pid();
    }
}
