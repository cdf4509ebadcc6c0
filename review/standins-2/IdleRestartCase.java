import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A minion without tasks crashes and starts again under its id as one of another kind, which it reports at once.
 * Shortly after that a job comes that requires the earlier kind. Five minions do so, one after the other.
 */
final class IdleRestartCase {
    private static final int ROUNDS = 5;
    /** How long the minion is down; less than the three intervals after which its entry is removed. */
    private static final int DOWN_MILLIS = 3_100;
    private static final int JOB_AFTER_REPORT_MILLIS = 100;
    /** Time between two restarts; not a multiple of the period with which the hosts read the registry. */
    private static final int CALM_MILLIS = 3_070;
    private static final int DEADLINE_MILLIS = 2_500;

    private IdleRestartCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Stage stage = new Stage(Path.of(args[0], "record.txt"))) {
            Cases.exit(stage, () -> play(stage, trouble));
        }
    }

    private static void play(Stage stage, boolean trouble) throws Exception {
        stage.putManifest(1, List.of("/q/"), 2_500);
        List<Minion> special = new ArrayList<>();
        for (int i = 1; i <= ROUNDS; i++) {
            stage.addMinion("zone-a", 1);
            special.add(stage.addMinion("zone-a", 1, "b" + i));
        }
        Stage.Host host = stage.startHost("edge-zone-a-1", "zone-a");
        stage.awaitReady(2 * ROUNDS * 16_000L);
        for (int i = 1; i <= ROUNDS; i++) {
            Thread.sleep(CALM_MILLIS);
            if (trouble) {
                restart(stage, special.get(i - 1));
                Thread.sleep(JOB_AFTER_REPORT_MILLIS);
            }
            String id = String.format("%016x", 0xb0b0 + i);
            stage.ledger.require(id, "b" + i);
            Cases.post(stage, host, "/q/" + id, Caller.job(1, 6_800, 200, 200, "b" + i), DEADLINE_MILLIS);
        }
    }

    private static void restart(Stage stage, Minion minion) throws Exception {
        minion.crash();
        Thread.sleep(DOWN_MILLIS);
        minion.startAgain("a", 16_000);
        stage.store.put("keyed.servers", minion.id(), minion.entry("zone-a", "ready"));
    }
}
