import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Minions whose steady clocks run 2% slow stay without tasks for a while. Then a job comes, and one of them leaves its
 * orders without an answer and carries them out late.
 */
final class StaleClockCase {
    private static final int MINIONS = 16;
    private static final int TASKS = 12;
    private static final int IDLE_MILLIS = 82_000;
    private static final int DEADLINE_MILLIS = 5_000;
    /** How long the minion leaves orders without an answer; the largest time of the site file is 5.5 s. */
    private static final long TROUBLE_NANOS = 1_500_000_000L;
    /** Orders are carried out 2 to 12 s late; the start comes first. */
    private static final double START_DELAY_S = 2.0;
    private static final double OTHER_DELAY_S = 3.0;

    private StaleClockCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Stage stage = new Stage(Path.of(args[0], "record.txt"))) {
            Cases.exit(stage, () -> play(stage, trouble));
        }
    }

    private static void play(Stage stage, boolean trouble) throws Exception {
        stage.putManifest(1, List.of("/q/"), 5_000);
        List<Minion> minions = new ArrayList<>();
        for (int i = 0; i < MINIONS; i++) {
            minions.add(stage.addMinion("zone-a", 0.98));
        }
        Stage.Host host = stage.startHost("edge-zone-a-1", "zone-a");
        stage.awaitReady(16_000L * MINIONS);
        Thread.sleep(IDLE_MILLIS);
        Trouble disruption = new Trouble();
        if (trouble) {
            minions.forEach(each -> each.setDelay(path -> disruption.delaySeconds(each, path)));
        }
        Thread small = Cases.background(() -> sendSmallJobs(stage, host));
        // One task fits on each minion, and nothing else beside it.
        String path = "/q/5c0e7a21d94b36f8";
        Cases.post(stage, host, path, Caller.job(TASKS, 15_900, 900, 1_500, ""), DEADLINE_MILLIS);
        small.join();
        int orders = minions.stream().mapToInt(Minion::orders).sum();
        int late = minions.stream().mapToInt(Minion::lateOrders).sum();
        stage.record.report("orders: " + orders + ", without an answer: " + late);
    }

    /** The first minion that gets a start leaves its orders without an answer for a while. */
    private static final class Trouble {
        private Minion minion;
        private long sinceNanos;

        synchronized double delaySeconds(Minion asked, String path) {
            boolean start = path.equals("/run-start");
            if (minion == null && start) {
                minion = asked;
                sinceNanos = System.nanoTime();
            }
            if (asked != minion || System.nanoTime() - sinceNanos > TROUBLE_NANOS) {
                return 0;
            }
            return start ? START_DELAY_S : OTHER_DELAY_S;
        }
    }

    /** Sends small jobs for as long as the minion is in trouble. */
    private static void sendSmallJobs(Stage stage, Stage.Host host) throws InterruptedException {
        Thread.sleep(100);
        for (int i = 0; i < 30; i++) {
            String path = "/q/" + String.format("%016x", 0x1000 + i);
            Caller.Answer answer = Caller.post(host.callerPort, path, Caller.job(1, 500, 60, 40, ""), 1_500);
            stage.record.line("client", "POST " + path + " -> " + answer.status());
            Thread.sleep(60);
        }
    }
}
