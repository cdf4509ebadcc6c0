package review3;

import java.util.List;

/** A client cancels its job at another host while the host that runs the job is frozen. */
final class CancelDuringFreeze extends Case {
    private static final long FREEZE_MILLIS = 4_000;
    private static final long CANCEL_AFTER_MILLIS = 2_500;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long CANCEL_MILLIS = 3_000;
    private static final int TASKS = 24;
    private static final long TASK_MILLIS = 700;
    private static final long DEADLINE_MILLIS = 30_000;

    public static void main(String[] args) throws Exception {
        main(new CancelDuringFreeze(), args[0]);
    }

    @Override
    int run(Site site) throws Exception {
        site.manifest(3, List.of(Site.route("r-1", "/q1/", "svc", DEADLINE_MILLIS)), "svc");
        site.addMinion("i-1", "svc", 1_000, "zone-a");
        site.addMinion("i-2", "svc", 1_000, "zone-b");
        Host first = site.addHost("edge-a-1", "zone-a", site.store.port());
        Host second = site.addHost("edge-b-1", "zone-b", site.store.port());
        if (!site.awaitServing("/q1/")) {
            return NOT_RUN;
        }
        String id = Site.newId();
        Client client = new Client("client", first.callerPort, site.record);
        Daemons.start(() -> client.request(
                "POST", Site.HOST_NAME, "/q1/" + id, Site.job(TASKS, 1_000, TASK_MILLIS, TASK_MILLIS), DEADLINE_MILLIS));
        Daemons.sleep(1_000);
        if (trouble) {
            site.record.add("machine " + first.name + " freezes");
            first.signal("STOP");
        }
        Daemons.sleep(CANCEL_AFTER_MILLIS);
        Client canceller = new Client("client's second channel", second.callerPort, site.record);
        Daemons.start(() -> {
            Daemons.sleep(FREEZE_MILLIS - CANCEL_AFTER_MILLIS);
            if (trouble) {
                try {
                    first.signal("CONT");
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
                site.record.add("machine " + first.name + " wakes");
            }
        });
        Client.Answer cancelled = canceller.request("DELETE", Site.HOST_NAME, "/q1/" + id, "", 4_000);
        if (cancelled.status() != 200 && cancelled.status() != 410) {
            return NOT_RUN;
        }
        Daemons.sleep(12_000);
        long boundMillis = Math.max(
                cancelled.endedMillis() + CANCEL_MILLIS,
                cancelled.sentMillis() - CANCEL_AFTER_MILLIS + FREEZE_MILLIS + CONTACT_MILLIS + 500);
        int status = HELD;
        for (Minion.Run run : site.runsOf(id)) {
            if (run.startedMillis > boundMillis) {
                site.record.add("run " + run.task + " #" + run.number + " was started "
                        + (run.startedMillis - cancelled.endedMillis()) + " ms after the cancelling was acknowledged");
                status = BROKEN;
            }
        }
        return status;
    }
}
