package review3;

import java.io.IOException;
import java.util.List;

/** All hosts are killed right after a manifest and started again, in a deployment whose hosts have registered many times before. */
final class RestartAfterManyRegistrations extends Case {
    /** Records of earlier lives of the hosts; the two hosts of the script add one each. */
    private static final int EARLIER = Integer.parseInt(System.getenv().getOrDefault("EARLIER", "262141"));

    private static final long DOWN_MILLIS = 1_100;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final int REQUESTS = 24;
    private static final long PERIOD_MILLIS = 250;
    private static final long DEADLINE_MILLIS = 1_500;

    public static void main(String[] args) throws Exception {
        main(new RestartAfterManyRegistrations(), args[0]);
    }

    @Override
    int run(Site site) throws Exception {
        site.manifest(3, List.of(Site.route("r-1", "/q1/", "svc", DEADLINE_MILLIS)), "svc");
        site.addMinion("i-1", "svc", 8_000, "zone-a");
        site.addMinion("i-2", "svc", 8_000, "zone-a");
        String earlierAddress = "127.0.0.1:" + Host.freePort();
        for (int i = 0; i < EARLIER; i++) {
            site.store.putText("keyed.hosts", "edge-a-1", earlierAddress);
        }
        site.record.add("store: keyed.hosts holds " + EARLIER + " records of earlier starts");
        site.addHost("edge-a-1", "zone-a", site.store.port());
        site.addHost("edge-a-2", "zone-a", site.store.port());
        if (!site.awaitServing("/q1/")) {
            return NOT_RUN;
        }
        int before = serve(site);
        if (before * 4 < REQUESTS) {
            return NOT_RUN;
        }
        site.manifest(5, List.of(Site.route("r-1", "/q1/", "svc", DEADLINE_MILLIS)), "svc");
        if (trouble) {
            for (Host host : site.hosts) {
                site.record.add("SIGKILL to " + host.name);
                host.kill();
            }
            Daemons.sleep(DOWN_MILLIS);
            for (Host host : site.hosts) {
                host.start("zone-a", site.store.port());
                site.record.add(host.name + " started again");
            }
            awaitReady(site);
        }
        Daemons.sleep(RECOVERY_MILLIS);
        int after = serve(site);
        site.record.add("served: " + before + " of " + REQUESTS + " before, " + after + " of " + REQUESTS + " after");
        return after * 4 < REQUESTS ? BROKEN : HELD;
    }

    private static void awaitReady(Site site) {
        long untilMillis = site.record.millis() + 30_000;
        for (Host host : site.hosts) {
            while (host.readiness() != 200 && site.record.millis() < untilMillis) {
                Daemons.sleep(100);
            }
            site.record.add(host.name + ": readiness " + host.readiness());
        }
    }

    /** Sends jobs to the hosts in turn; returns how many were served. */
    private static int serve(Site site) throws IOException {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Host host = site.hosts.get(i % site.hosts.size());
            try (Client client = new Client("client of " + host.name, host.callerPort, site.record)) {
                Client.Answer answer = client.request(
                        "POST", Site.HOST_NAME, "/q1/" + Site.newId(), Site.job(2, 1_000, 60, 60), DEADLINE_MILLIS);
                served += answer.status() == 200 ? 1 : 0;
            } catch (IOException e) {
                site.record.add("client of " + host.name + ": " + e.getMessage());
            }
            Daemons.sleep(PERIOD_MILLIS);
        }
        return served;
    }
}
