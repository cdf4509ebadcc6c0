package org.banyanspoke.bench.internal;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process that a run started. Signals go to its process id only. */
public final class ManagedProcess {
    private static final long SIGNAL_LIMIT_MILLIS = 5_000;

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
    public static ManagedProcess start(List<String> command, String javaOptions, Path output) throws IOException {
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
    public void terminate() {
        process.destroy();
    }

    /**
     * Sends a signal such as {@code STOP} or {@code CONT}.
     *
     * @throws IOException if it was not delivered
     */
    public void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start();
        if (!kill.waitFor(SIGNAL_LIMIT_MILLIS, TimeUnit.MILLISECONDS) || kill.exitValue() != 0) {
            throw new IOException("signal " + name + " was not delivered");
        }
    }

    /** Ends the process at once. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Waits for the end; returns whether it came in time. */
    public boolean awaitEnd(long limitMillis) throws InterruptedException {
        return process.waitFor(limitMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the exit code of a process that has ended. */
    public int exitCode() {
        return process.exitValue();
    }

    /** Returns the processor time used so far. */
    public Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the process id. */
    long pid() {
        return process.pid();
    }
}
