import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;

/**
 * A machine has been removed for good some time ago. Another one gets SIGTERM, and a client on an open channel cancels
 * a job that has already ended.
 */
final class DrainCancelCase {
    private static final int SENT_AFTER_SIGNAL_MILLIS = 2_050;
    private static final int LOSS_SLACK_MILLIS = 200;
    private static final int ACK_TIMEOUT_MILLIS = 4_000;
    /** Longer than {@code contact_ms} and than the monitoring of any host takes. */
    private static final int SINCE_REMOVAL_MILLIS = 30_000;

    private DrainCancelCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Stage stage = new Stage(Path.of(args[0], "record.txt"))) {
            Cases.exit(stage, () -> play(stage, trouble));
        }
    }

    private static void play(Stage stage, boolean trouble) throws Exception {
        stage.putManifest(1, List.of("/q/"), 1_500);
        for (int i = 0; i < 4; i++) {
            stage.addMinion("zone-a", 1);
        }
        stage.startHost("edge-zone-a-1", "zone-a");
        stage.startHost("edge-zone-a-2", "zone-a");
        Stage.Host removed = stage.startHost("edge-zone-a-3", "zone-a");
        stage.awaitReady(4 * 16_000L);
        removed.signal("TERM");
        removed.process().waitFor();
        stage.record.line(removed.name, "ended");
        // Nothing answers at the address of the removed machine.
        try (ServerSocket silent = new ServerSocket(removed.peerPort, 1_024, InetAddress.getByName("127.0.0.1"))) {
            stage.record.line("stage", "silent address: port " + silent.getLocalPort());
            Thread.sleep(SINCE_REMOVAL_MILLIS);
            cancelWhileStopping(stage, trouble);
        }
    }

    private static void cancelWhileStopping(Stage stage, boolean trouble) throws Exception {
        Stage.Host host = stage.hosts.get(1);
        String path = "/q/5c0e7a21d94b36f8";
        Cases.post(stage, host, path, Caller.job(2, 6_800, 60, 40, ""), 1_500);
        try (Caller client = new Caller(host.callerPort)) {
            if (trouble) {
                host.signal("TERM");
            }
            Thread.sleep(SENT_AFTER_SIGNAL_MILLIS);
            stage.record.line("client", "DELETE " + path + " to " + host.name);
            long sentNanos = System.nanoTime();
            Caller.Answer answer = client.call("DELETE", path, "", ACK_TIMEOUT_MILLIS);
            long afterMillis = (System.nanoTime() - sentNanos) / 1_000_000;
            stage.record.report("answer: " + answer.status() + " " + answer.end() + ", " + afterMillis
                    + " ms after the request");
            if (answer.status() == 0 && afterMillis > LOSS_SLACK_MILLIS && afterMillis < ACK_TIMEOUT_MILLIS) {
                stage.ledger.report(
                        "LOST: the channel ended without an answer, " + afterMillis + " ms after the request");
            }
        }
    }
}
