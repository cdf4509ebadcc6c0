package org.banyanspoke.scenarios.cluster;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process that a scenario started. Signals go to its process id only. */
final class ScenarioProcess {
    private static final long SIGNAL_LIMIT_MILLIS = 5_000;

    private final Process process;

    private ScenarioProcess(Process process) {
        this.process = process;
    }

    static ScenarioProcess start(Path script, String javaOptions, Path output, List<String> arguments)
            throws IOException {
        List<String> command = new java.util.ArrayList<>(List.of(script.toString()));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectInput(new File("/dev/null"))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        builder.environment().put("JAVA_OPTS", javaOptions);
        ScenarioProcess started = new ScenarioProcess(builder.start());
        Runtime.getRuntime().addShutdownHook(new Thread(started::kill));
        return started;
    }

    /** Sends a signal such as {@code STOP}, {@code CONT} or {@code TERM}. */
    void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start();
        if (!kill.waitFor(SIGNAL_LIMIT_MILLIS, TimeUnit.MILLISECONDS) || kill.exitValue() != 0) {
            throw new IOException("signal " + name + " was not delivered");
        }
    }

    void kill() {
        process.destroyForcibly();
    }

    /** Waits for the end and returns the exit code; -1 if it did not end in time. */
    int awaitExit(long limitMillis) throws InterruptedException {
        return process.waitFor(limitMillis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }
}
