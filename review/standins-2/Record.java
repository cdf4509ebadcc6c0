import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the seconds since the start of the script. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile());
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String who, String what) {
        out.printf("%8.3f %-10s %s%n", seconds(), who, what);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void report(String what) {
        line("report", what);
        System.out.printf("%8.3f %s%n", seconds(), what);
    }
}
