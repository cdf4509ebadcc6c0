import java.nio.file.Path;
import java.util.List;

/** A machine gets SIGTERM while the tasks of a job that it has taken from a client are at work. */
final class DrainCutCase {
    /** A task of 2,350 ms takes twice as long away from the rack of its data. */
    private static final int EARLIER_ESTIMATE_MILLIS = 2_350;
    private static final int EARLIER_RUN_MILLIS = 4_700;
    private static final int SENT_BEFORE_SIGNAL_MILLIS = 100;
    /** The largest time of a task of bundle-build is 3,600 ms. */
    private static final int LATER_RUN_MILLIS = 3_500;
    private static final int LATER_ESTIMATE_MILLIS = 3_000;
    private static final int SENT_AFTER_SIGNAL_MILLIS = 1_000;
    private static final int DEADLINE_MILLIS = 5_800;
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final int GRACE_MILLIS = 6_000;

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
        try (Caller earlier = new Caller(host.callerPort);
                Caller later = new Caller(host.callerPort)) {
            long signalNanos = System.nanoTime() + SENT_BEFORE_SIGNAL_MILLIS * 1_000_000L;
            String earlierJob = Caller.job(2, 6_800, EARLIER_ESTIMATE_MILLIS, EARLIER_RUN_MILLIS, "", "rack-elsewhere");
            Thread earlierCall = Cases.background(
                    () -> send(stage, host, earlier, "/q/5c0e7a21d94b36f8", earlierJob, signalNanos));
            sleepUntil(signalNanos);
            if (trouble) {
                host.signal("TERM");
            }
            sleepUntil(signalNanos + SENT_AFTER_SIGNAL_MILLIS * 1_000_000L);
            String laterJob = Caller.job(2, 6_800, LATER_ESTIMATE_MILLIS, LATER_RUN_MILLIS, "");
            send(stage, host, later, "/q/5c0e7a21d94b36f9", laterJob, signalNanos);
            earlierCall.join();
        }
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        Thread.sleep(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
    }

    private static void send(Stage stage, Stage.Host host, Caller client, String path, String job, long signalNanos) {
        stage.record.line("client", "POST " + path + " to " + host.name + ", waits " + DEADLINE_MILLIS + " ms: " + job);
        long sentNanos = System.nanoTime();
        Caller.Answer answer = client.call("POST", path, job, DEADLINE_MILLIS);
        long afterSignalMillis = (System.nanoTime() - signalNanos) / 1_000_000;
        long afterSendingMillis = (System.nanoTime() - sentNanos) / 1_000_000;
        stage.record.report("answer to " + path + ": " + answer.status() + " " + answer.body() + answer.end() + ", "
                + afterSignalMillis + " ms after the signal, " + afterSendingMillis + " ms after the request");
        boolean inLastSixth = afterSignalMillis >= GRACE_MILLIS * 5 / 6;
        if (answer.status() == 0 && afterSendingMillis < DEADLINE_MILLIS && !inLastSixth) {
            stage.ledger.report(
                    "LOST: the channel of " + path + " ended without an answer while its tasks were at work");
        }
    }
}
