import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The open channels to the store go silent for good; new ones work. Half a second later the operator adds a route and
 * drops another. Once the machines are in touch again, they get requests for both.
 */
final class SilentStoreChannelsCase {
    private static final AtomicLong NEXT_JOB = new AtomicLong(0xd0d0);
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
        stage.putManifest(1, List.of("/kept/", "/dropped/"), 1_500);
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
        stage.putManifest(2, List.of("/kept/", "/added/"), 1_500);
        long storedNanos = System.nanoTime();
        sleepUntil(Math.max(silentNanos + CONTACT_MILLIS * 1_000_000L, storedNanos + CONFIG_APPLY_MILLIS * 1_000_000L)
                + MARGIN_NANOS);
        List<Thread> askers = new ArrayList<>();
        for (Stage.Host host : stage.hosts) {
            askers.add(Cases.background(() -> ask(stage, host, silentNanos, storedNanos)));
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

    /** Sends requests for the added and for the dropped route to a host, until it has the new manifest. */
    private static void ask(Stage stage, Stage.Host host, long silentNanos, long storedNanos) {
        for (int i = 0; i < 60; i++) {
            String when = ", sent " + millisSince(storedNanos) + " ms after the manifest was stored, "
                    + millisSince(silentNanos) + " ms after the channels went silent";
            Caller.Answer added = Caller.get(host.callerPort, "/added/");
            stage.record.line(host.name, "GET /added/ -> " + added.status() + when);
            if (added.status() == 200) {
                return;
            }
            if (added.status() == 404) {
                stage.ledger.report("CONFIG: " + host.name + " refuses an added route with 404" + when);
            }
            String path = "/dropped/" + String.format("%016x", NEXT_JOB.incrementAndGet());
            Caller.Answer dropped = Caller.post(host.callerPort, path, Caller.job(1, 500, 60, 40, ""), 1_500);
            stage.record.line(host.name, "POST " + path + " -> " + dropped.status() + when);
            if (dropped.status() == 200) {
                stage.ledger.report("CONFIG: " + host.name + " has run a job with a dropped route" + when);
            }
        }
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }
}
