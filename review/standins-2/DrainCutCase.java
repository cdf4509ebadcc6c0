import java.nio.file.Path;
import java.util.List;

/** A machine gets SIGTERM while the tasks of a job that it has taken from a client are at work. */
final class DrainCutCase {
    /** The largest time of a task of bundle-build is 3,600 ms. */
    private static final int RUN_MILLIS = 3_500;
    private static final int ESTIMATE_MILLIS = 3_000;
    private static final int DEADLINE_MILLIS = 5_800;
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final int GRACE_MILLIS = 6_000;
    private static final int SENT_AFTER_SIGNAL_MILLIS = 1_000;

    private DrainCutCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Stage stage = new Stage(Path.of(args[0], "record.txt"))) {
            Cases.exit(stage, () -> play(stage, trouble));
        }
    }

    private static void play(Stage stage, boolean trouble) throws Exception {
        stage.putManifest(1, List.of("/q/"), TIMEOUT_MILLIS);
        for (int i = 0; i < 4; i++) {
            stage.addMinion("zone-a", 1);
        }
        stage.startHost("edge-zone-a-1", "zone-a");
        stage.startHost("edge-zone-a-2", "zone-a");
        stage.awaitReady(4 * 16_000L);
        Stage.Host host = stage.hosts.stream()
                .filter(each -> each.metric("pool_capacity_millicores") == 0)
                .findFirst()
                .orElseThrow();
        try (Caller client = new Caller(host.callerPort)) {
            if (trouble) {
                host.signal("TERM");
            }
            long signalNanos = System.nanoTime();
            Thread.sleep(SENT_AFTER_SIGNAL_MILLIS);
            String path = "/q/5c0e7a21d94b36f8";
            stage.record.line("client", "POST " + path + " to " + host.name);
            long sentNanos = System.nanoTime();
            Caller.Answer answer =
                    client.call("POST", path, Caller.job(2, 6_800, ESTIMATE_MILLIS, RUN_MILLIS, ""), DEADLINE_MILLIS);
            long afterSignalMillis = (System.nanoTime() - signalNanos) / 1_000_000;
            long afterSendingMillis = (System.nanoTime() - sentNanos) / 1_000_000;
            stage.record.report("answer: " + answer.status() + " " + answer.body() + answer.end() + ", "
                    + afterSignalMillis + " ms after the signal, " + afterSendingMillis + " ms after the request");
            boolean inLastSixth = afterSignalMillis >= GRACE_MILLIS * 5 / 6;
            if (answer.status() == 0 && afterSendingMillis < DEADLINE_MILLIS && !inLastSixth) {
                stage.ledger.report("LOST: the channel ended without an answer while the minions were at work");
            }
        }
    }
}
