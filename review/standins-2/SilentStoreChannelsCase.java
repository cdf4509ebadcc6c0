import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The open channels to the store go silent for good; new ones work. Half a second later the operator adds a route. Once
 * the machines are in touch again, they are asked for the new route.
 */
final class SilentStoreChannelsCase {
    private static final int CONTACT_MILLIS = 3_000;
    private static final int CONFIG_APPLY_MILLIS = 2_000;
    /** How long the script waits for its moment at most. */
    private static final int MOMENT_MILLIS = 60_000;
    private static final long MARGIN_NANOS = 20_000_000;

    private SilentStoreChannelsCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Stage stage = new Stage(Path.of(args[0], "record.txt"))) {
            Cases.exit(stage, () -> play(stage, trouble));
        }
    }

    private static void play(Stage stage, boolean trouble) throws Exception {
        List<String> prefixes = new ArrayList<>(List.of("/q/"));
        stage.putManifest(1, prefixes, 1_500);
        List<Relay> relays = new ArrayList<>();
        for (String zone : List.of("a", "b", "c", "d")) {
            stage.addMinion("zone-" + zone, 1);
            stage.addMinion("zone-" + zone, 1);
            startHost(stage, "edge-zone-" + zone + "-1", "zone-" + zone, relays);
            startHost(stage, "edge-zone-" + zone + "-2", "zone-" + zone, relays);
        }
        stage.awaitReady(8 * 16_000L);
        awaitMoment(stage);
        if (trouble) {
            int channels = relays.stream().mapToInt(Relay::silenceOpenChannels).sum();
            stage.record.report("channels to the store that go silent: " + channels);
        }
        long silentNanos = System.nanoTime();
        Thread.sleep(500);
        prefixes.add("/new/");
        stage.putManifest(2, prefixes, 1_500);
        long storedNanos = System.nanoTime();
        sleepUntil(Math.max(silentNanos + CONTACT_MILLIS * 1_000_000L, storedNanos + CONFIG_APPLY_MILLIS * 1_000_000L)
                + MARGIN_NANOS);
        List<Thread> askers = new ArrayList<>();
        for (Stage.Host host : stage.hosts) {
            askers.add(Cases.background(() -> ask(stage, host, "/new/", silentNanos, storedNanos)));
        }
        for (Thread asker : askers) {
            asker.join();
        }
    }

    private static void startHost(Stage stage, String name, String zone, List<Relay> relays) throws Exception {
        Relay relay = new Relay(stage.store.portFor(name));
        relays.add(relay);
        stage.startHost(name, zone, "127.0.0.1:" + relay.port());
    }

    /** Waits until one of the hosts that do not dispatch has just begun to read all its topics. */
    private static void awaitMoment(Stage stage) throws InterruptedException {
        List<Stage.Host> idle = stage.hosts.stream()
                .filter(each -> each.metric("pool_capacity_millicores") == 0)
                .toList();
        for (int i = 0; i < MOMENT_MILLIS / 5; i++) {
            for (Stage.Host host : idle) {
                if (stage.store.readAgeMillis(host.name, "keyed.op") < 500
                        && stage.store.readAgeMillis(host.name, "keyed.servers") < 200
                        && stage.store.readAgeMillis(host.name, "keyed.hosts") < 400) {
                    stage.record.report(host.name + " has just begun to read all its topics");
                    return;
                }
            }
            Thread.sleep(5);
        }
        stage.record.report("no host has begun to read all its topics at about the same time");
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        Thread.sleep(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
    }

    /** Asks a host for the number of pending jobs on the new route, until it knows the route. */
    private static void ask(Stage stage, Stage.Host host, String prefix, long silentNanos, long storedNanos)
            throws InterruptedException {
        for (int i = 0; i < 60; i++) {
            long sentNanos = System.nanoTime();
            Caller.Answer answer = Caller.get(host.callerPort, prefix);
            String text = "GET " + prefix + " -> " + answer.status() + ", sent " + (sentNanos - storedNanos) / 1_000_000
                    + " ms after the manifest was stored, " + (sentNanos - silentNanos) / 1_000_000
                    + " ms after the channels went silent";
            stage.record.line(host.name, text);
            if (answer.status() == 404) {
                stage.ledger.report("CONFIG: " + host.name + " " + text);
            }
            if (answer.status() == 200) {
                return;
            }
            Thread.sleep(20);
        }
    }
}
