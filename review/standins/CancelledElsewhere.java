import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Jobs are cancelled at another node than the one that they were handed in at. Rule UNASKED. */
final class CancelledElsewhere {
    private static final long CANCEL_MILLIS = 3_000;
    private static final long DEADLINE_MILLIS = 6_000;
    private static final int MINIONS = 4;
    private static final int CPU = 16_000;
    /** Two tasks fit on a minion. */
    private static final int TASK_CPU = 6_800;

    /** Jobs that wait for room; with the one that fills it, four of ten jobs are cancelled. */
    private static final int JOBS = 9;

    private static final int CANCELLED_JOBS = 4;
    private static final int SLOTS = 2 * MINIONS;

    private record Cancelled(String id, double acknowledgedMillis) {}

    public static void main(String[] args) throws Exception {
        int exit = Site.COULD_NOT_RUN;
        try (Site site = new Site(Path.of("").toAbsolutePath(), Path.of(args[0]))) {
            site.manifest(1, DEADLINE_MILLIS, 1.6, Site.PREFIX);
            for (int i = 0; i < MINIONS; i++) {
                site.minion("i-a" + i, "zone-a", CPU, List.of("a", "r1-1"));
            }
            site.host("edge-a-1", "zone-a");
            site.host("edge-a-2", "zone-a");
            site.start(1.0 * MINIONS * CPU);
            int broken = check(site, play(site));
            System.out.println(broken + " tasks of cancelled jobs began, or were at work, after cancel_ms");
            exit = broken == 0 ? Site.HELD : Site.BROKEN;
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static List<Cancelled> play(Site site) throws Exception {
        Caller caller = new Caller(site);
        EntryHost first = site.hosts.get(0);
        EntryHost second = site.hosts.get(1);
        List<Thread> clients = new ArrayList<>();
        clients.add(send(caller, first, "f000000000000000", Caller.job(SLOTS, TASK_CPU, 3_600, 3_900, "")));
        Thread.sleep(100);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("c%015x", i);
            ids.add(id);
            clients.add(send(caller, first, id, Caller.job(1, TASK_CPU, 900, 900, "")));
        }
        Thread.sleep(100);
        List<Cancelled> cancelled = new ArrayList<>();
        for (String id : ids.subList(0, CANCELLED_JOBS)) {
            if (!Site.calm()) {
                int status = caller.call(second, "DELETE", id, "", DEADLINE_MILLIS);
                if (status / 100 == 2 || status == 410) {
                    cancelled.add(new Cancelled(id, site.record.nowMillis()));
                }
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(500);
        return cancelled;
    }

    private static Thread send(Caller caller, EntryHost host, String id, String body) {
        Thread client = new Thread(() -> caller.call(host, "POST", id, body, DEADLINE_MILLIS));
        client.start();
        return client;
    }

    private static int check(Site site, List<Cancelled> cancelled) {
        int broken = 0;
        for (Cancelled each : cancelled) {
            double limit = each.acknowledgedMillis() + CANCEL_MILLIS;
            for (Record.Run run : site.record.runs()) {
                boolean late = run.startMillis > limit
                        || run.endMillis < 0
                        || run.endMillis > limit + Site.STOP_GRACE_MILLIS;
                if (run.task.startsWith(each.id()) && late) {
                    site.record.write("UNASKED: cancelled at %.1f ms: %s", each.acknowledgedMillis(), run);
                    broken++;
                }
            }
        }
        return broken;
    }
}
