package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Events of a run with their times, in milliseconds since the start of the run. */
final class Record {
    private final long originNanos = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    long millis() {
        return (System.nanoTime() - originNanos) / 1_000_000;
    }

    synchronized void add(String line) {
        lines.add(String.format("%8d ms  %s", millis(), line));
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
