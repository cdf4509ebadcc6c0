package review3;

import java.util.List;

/** A host is cut off from the store while a manifest gives a queue to another service. */
final class StaleEntryHost extends Case {
    private static final long CUT_MILLIS = 5_500;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long ROLLBACK_SLACK_MILLIS = 250;

    public static void main(String[] args) throws Exception {
        main(new StaleEntryHost(), args[0]);
    }

    @Override
    int run(Site site) throws Exception {
        Proxy storeOfSecond = new Proxy(site.store.port());
        site.manifest(3, List.of(Site.route("r-1", "/q1/", "old", 1_500)), "old", "new");
        Minion old = site.addMinion("i-1", "old", 16_000, "zone-a");
        Minion fresh = site.addMinion("i-2", "new", 16_000, "zone-a");
        Host first = site.addHost("edge-a-1", "zone-a", site.store.port());
        if (!site.awaitServing("/q1/")) {
            return NOT_RUN;
        }
        Host second = site.addHost("edge-a-2", "zone-a", storeOfSecond.port());
        if (!site.awaitServing("/q1/")) {
            return NOT_RUN;
        }
        if (trouble) {
            site.record.add(second.name + " is cut off from the store");
            storeOfSecond.setCut(true);
        }
        long cutMillis = site.record.millis();
        Daemons.sleep(500);
        site.manifest(5, List.of(Site.route("r-1", "/q1/", "new", 1_500)), "old", "new");
        Daemons.sleep(CONFIG_APPLY_MILLIS + 200);
        String id = Site.newId();
        Client.Answer seen = new Client("client 1", first.callerPort, site.record)
                .request("POST", Site.HOST_NAME, "/q1/" + id, Site.job(1, 1_000, 50, 50), 1_500);
        if (seen.status() != 200 || !ran(fresh, id)) {
            return NOT_RUN;
        }
        Daemons.sleep(ROLLBACK_SLACK_MILLIS + 100);
        String later = Site.newId();
        new Client("client 2", second.callerPort, site.record)
                .request("POST", Site.HOST_NAME, "/q1/" + later, Site.job(1, 1_000, 50, 50), 1_500);
        Daemons.sleep(cutMillis + CUT_MILLIS - site.record.millis());
        storeOfSecond.setCut(false);
        Daemons.sleep(500);
        if (ran(old, later)) {
            site.record.add("a start on a minion of the old service, given by the machine that had started a task on "
                    + "the new one before");
            return BROKEN;
        }
        return HELD;
    }

    private static boolean ran(Minion minion, String job) {
        return minion.runs().stream().anyMatch(run -> run.task.startsWith(job + "."));
    }
}
