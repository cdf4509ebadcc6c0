package org.banyanspoke.bench.internal;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process of a run. Signals are sent to its process id only. */
public final class ManagedProcess {
    private static final long SIGNAL_TIMEOUT_MILLIS = 5_000;

    private final Process process;

    private ManagedProcess(Process process) {
        this.process = process;
    }

    /**
     * Starts a process.
     *
     * @param command program and arguments
     * @param javaOptions value of the JAVA_OPTS environment variable
     * @param output file to append standard output and error to
     * @throws IOException if the program cannot be started
     */
    public static ManagedProcess start(List<String> command, String javaOptions, Path output) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .redirectInput(new File("/dev/null"));
        builder.environment().put("JAVA_OPTS", javaOptions);
        ManagedProcess managed = new ManagedProcess(builder.start());
        Runtime.getRuntime().addShutdownHook(new Thread(managed::kill, "kill " + command.get(0)));
        return managed;
    }

    /** Requests termination of the process (SIGTERM). */
    public void terminate() {
        process.destroy();
    }

    /**
     * Sends a signal such as {@code STOP} or {@code CONT}.
     *
     * @throws IOException if the signal was not delivered
     */
    public void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start();
        if (!kill.waitFor(SIGNAL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) || kill.exitValue() != 0) {
            throw new IOException("signal " + name + " was not delivered");
        }
    }

    /** Kills the process immediately (SIGKILL). */
    public void kill() {
        process.destroyForcibly();
    }

    /** Waits for the process to exit and returns whether it did within the time-out. */
    public boolean awaitExit(long timeoutMillis) throws InterruptedException {
        return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns whether the process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the exit code of an exited process. */
    public int exitCode() {
        return process.exitValue();
    }

    /** Returns the CPU time used so far. */
    public Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the process id. */
    long pid() {
        return process.pid();
    }
}
