import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What all minions have run, and the broken rules that follow from it. */
final class Ledger {
    private final Record record;
    private final Map<String, String> runningOn = new HashMap<>();
    private final Map<String, String> requiredKinds = new HashMap<>();
    private final List<String> broken = new ArrayList<>();

    Ledger(Record record) {
        this.record = record;
    }

    /** Sets the label that a job requires. */
    synchronized void require(String job, String kind) {
        requiredKinds.put(job, kind);
    }

    synchronized void started(String minion, String kind, String task, long run) {
        record.line(minion, "begins " + task + " run " + run);
        String other = runningOn.put(task, minion);
        if (other != null) {
            report("TWICE: " + task + " begins on " + minion + " (run " + run + ") while it runs on " + other);
        }
        String required = requiredKinds.get(task.substring(0, 16));
        if (required != null && !required.equals(kind)) {
            report("ROUTE: " + task + " requires " + required + " and begins on " + minion + " of kind " + kind);
        }
    }

    synchronized void ended(String minion, String task, long run, String how) {
        record.line(minion, "ends " + task + " run " + run + " " + how);
        runningOn.remove(task, minion);
    }

    synchronized void report(String text) {
        broken.add(text);
        record.report(text);
    }

    synchronized List<String> broken() {
        return List.copyOf(broken);
    }
}
