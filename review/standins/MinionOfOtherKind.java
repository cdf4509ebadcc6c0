import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A minion crashes and starts again under its id, as a minion of another kind. Rule ROUTE. */
final class MinionOfOtherKind {
    private static final long DEADLINE_MILLIS = 1_500;
    private static final int MINIONS = 8;
    private static final int CPU = 16_000;
    private static final long DOWN_MILLIS = 700;
    private static final List<String> KIND_A = List.of("a", "r1-1");
    private static final List<String> KIND_B = List.of("b", "r1-1");

    public static void main(String[] args) throws Exception {
        int exit = Site.COULD_NOT_RUN;
        try (Site site = new Site(Path.of("").toAbsolutePath(), Path.of(args[0]))) {
            site.manifest(1, DEADLINE_MILLIS, 1.6, Site.PREFIX);
            for (int i = 0; i < MINIONS; i++) {
                site.minion("i-" + i, "zone-a", CPU, i % 2 == 0 ? KIND_A : KIND_B);
            }
            site.host("edge-a-1", "zone-a");
            site.start(1.0 * MINIONS * CPU);
            play(site);
            // Every job of this script requires the label "a".
            List<Record.Run> wrong = site.record.runs().stream()
                    .filter(run -> !run.labels.contains("a"))
                    .toList();
            wrong.forEach(run -> site.record.write("ROUTE: label a is required, minion has %s: %s", run.labels, run));
            System.out.println(wrong.size() + " of " + site.record.runs().size()
                    + " starts on a minion without the required label");
            exit = wrong.isEmpty() ? Site.HELD : Site.BROKEN;
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static void play(Site site) throws Exception {
        Caller caller = new Caller(site);
        List<Thread> clients = new ArrayList<>();
        String body = Caller.job(2, 6_800, 900, 900, "a");
        Minion minion = site.minions.get(0);
        for (int i = 0; i < 100; i++) {
            if (i % 25 == 15 && !Site.calm()) {
                List<String> next = minion.labels().equals(KIND_A) ? KIND_B : KIND_A;
                new Thread(() -> crashAndRestart(minion, next)).start();
            }
            int number = i;
            Thread client = new Thread(() -> caller.submit(
                    "zone-a", number, String.format("b%015x", number), body, DEADLINE_MILLIS, 1));
            client.start();
            clients.add(client);
            Thread.sleep(150);
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private static void crashAndRestart(Minion minion, List<String> labels) {
        try {
            minion.crash();
            Thread.sleep(DOWN_MILLIS);
            minion.restart(labels);
        } catch (Exception e) {
            e.printStackTrace();
        }
    }
}
