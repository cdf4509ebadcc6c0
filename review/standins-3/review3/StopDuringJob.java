package review3;

/** A host gets SIGTERM while a client's job of some seconds is at work. */
final class StopDuringJob extends Case {
    private static final long GRACE_MILLIS = 6_000;
    /** One after the other on the only minion, so that the job ends 4.7 s after the SIGTERM. */
    private static final int TASKS = 6;
    private static final long TASK_MILLIS = 825;
    private static final long DEADLINE_MILLIS = 12_000;

    public static void main(String[] args) throws Exception {
        main(new StopDuringJob(), args[0]);
    }

    @Override
    int run(Site site) throws Exception {
        site.manifest(3, java.util.List.of(Site.route("r-1", "/q1/", "svc", DEADLINE_MILLIS)), "svc");
        site.addMinion("i-1", "svc", 1_000, "zone-a");
        site.addHost("edge-a-1", "zone-a", site.store.port());
        if (!site.awaitServing("/q1/")) {
            return NOT_RUN;
        }
        Host second = site.addHost("edge-a-2", "zone-a", site.store.port());
        if (!site.awaitServing("/q1/")) {
            return NOT_RUN;
        }
        Client client = new Client("client", second.callerPort, site.record);
        String id = Site.newId();
        long[] terminatedMillis = {Long.MAX_VALUE};
        if (trouble) {
            Daemons.start(() -> {
                Daemons.sleep(300);
                terminatedMillis[0] = site.record.millis();
                site.record.add("platform: SIGTERM to " + second.name);
                second.terminate();
            });
        }
        Client.Answer answer = client.request(
                "POST", Site.HOST_NAME, "/q1/" + id, Site.job(TASKS, 1_000, TASK_MILLIS, TASK_MILLIS), DEADLINE_MILLIS);
        Daemons.sleep(2_500);
        if (answer.status() == -1 || site.runsOf(id).isEmpty()) {
            return NOT_RUN;
        }
        if (answer.complete()) {
            return answer.status() == 200 ? HELD : NOT_RUN;
        }
        long lastSixthMillis = terminatedMillis[0] + GRACE_MILLIS * 5 / 6;
        for (Minion.Run run : site.runsOf(id)) {
            boolean excused = run.endedMillis < 0 || run.endedMillis >= lastSixthMillis;
            if (excused) {
                site.record.add("excused: a minion was at work in the last sixth of grace_s");
                return HELD;
            }
        }
        site.record.add("SIGTERM at " + terminatedMillis[0] + " ms, channel ended "
                + (answer.endedMillis() - terminatedMillis[0]) + " ms later, SIGKILL would follow at "
                + (terminatedMillis[0] + GRACE_MILLIS) + " ms");
        return BROKEN;
    }
}
