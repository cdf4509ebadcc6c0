import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run: one line an event, with the milliseconds since the start of the script. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private final List<Run> runs = new ArrayList<>();

    /** One run of a task on a minion, as the minion saw it; {@code endMillis} is -1 while it is at work. */
    static final class Run {
        final String task;
        final long number;
        final String minion;
        final List<String> labels;
        final double startMillis;
        double endMillis = -1;
        String how = "";

        Run(String task, long number, String minion, List<String> labels, double startMillis) {
            this.task = task;
            this.number = number;
            this.minion = minion;
            this.labels = labels;
            this.startMillis = startMillis;
        }

        boolean overlaps(Run other) {
            double end = endMillis < 0 ? Double.MAX_VALUE : endMillis;
            double otherEnd = other.endMillis < 0 ? Double.MAX_VALUE : other.endMillis;
            return startMillis < otherEnd && other.startMillis < end;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%s run %d on %s from %.1f to %.1f ms (%s)",
                    task,
                    number,
                    minion,
                    startMillis,
                    endMillis,
                    how);
        }
    }

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double nowMillis() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    synchronized void write(String event, Object... arguments) {
        out.printf(Locale.ROOT, "%10.1f  %s%n", nowMillis(), String.format(Locale.ROOT, event, arguments));
    }

    synchronized Run started(String task, long number, String minion, List<String> labels) {
        Run run = new Run(task, number, minion, labels, nowMillis());
        runs.add(run);
        write("%s %s begins %s run %d", minion, labels, task, number);
        return run;
    }

    synchronized void ended(Run run, String how) {
        run.endMillis = nowMillis();
        run.how = how;
        write("%s ends %s run %d: %s", run.minion, run.task, run.number, how);
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    synchronized void close() {
        out.close();
    }
}
