package review3;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;

/** A host gets SIGTERM some time after another machine was taken away for good; a client cancels a job there. */
final class StopDuringCancel extends Case {
    private static final long LOSS_SLACK_MILLIS = 200;
    private static final long CANCEL_AFTER_MILLIS = 2_050;

    public static void main(String[] args) throws Exception {
        main(new StopDuringCancel(), args[0]);
    }

    @Override
    int run(Site site) throws Exception {
        site.manifest(3, List.of(Site.route("r-1", "/q1/", "svc", 10_000)), "svc");
        site.addMinion("i-1", "svc", 1_000, "zone-a");
        Host first = site.addHost("edge-a-1", "zone-a", site.store.port());
        Host removed = site.addHost("edge-a-2", "zone-a", site.store.port());
        Host stopped = site.addHost("edge-a-3", "zone-a", site.store.port());
        if (!site.awaitServing("/q1/")) {
            return NOT_RUN;
        }
        site.record.add("platform: SIGTERM to " + removed.name + ", which is taken away");
        removed.terminate();
        while (removed.isAlive()) {
            Daemons.sleep(50);
        }
        site.record.add(removed.name + " has ended; its address doesn't respond any more");
        // A listener whose queue is full drops further connection requests, as a machine without power does.
        ServerSocket silent = new ServerSocket(removed.peerPort, 1, InetAddress.getByName("127.0.0.1"));
        Socket[] fillers = new Socket[4];
        for (int i = 0; i < fillers.length; i++) {
            fillers[i] = new Socket();
            Socket filler = fillers[i];
            Daemons.start(() -> {
                try {
                    filler.connect(new InetSocketAddress("127.0.0.1", removed.peerPort), 60_000);
                } catch (java.io.IOException e) {
                    // Dropped, as intended.
                }
            });
        }
        Daemons.sleep(12_000);
        Client canceller = new Client("client's second channel", stopped.callerPort, site.record);
        long stopMillis = site.record.millis();
        if (trouble) {
            site.record.add("platform: SIGTERM to " + stopped.name);
            stopped.terminate();
        }
        Daemons.sleep(CANCEL_AFTER_MILLIS - 400);
        String id = Site.newId();
        Client client = new Client("client", first.callerPort, site.record);
        Daemons.start(() ->
                client.request("POST", Site.HOST_NAME, "/q1/" + id, Site.job(4, 1_000, 800, 800), 10_000));
        Daemons.sleep(stopMillis + CANCEL_AFTER_MILLIS - site.record.millis());
        Client.Answer answer = canceller.request("DELETE", Site.HOST_NAME, "/q1/" + id, "", 4_000);
        silent.close();
        if (answer.complete()) {
            return HELD;
        }
        long lateMillis = answer.endedMillis() - answer.sentMillis();
        site.record.add("the channel ended " + lateMillis + " ms after the request was sent");
        return answer.status() == 0 && lateMillis > LOSS_SLACK_MILLIS ? BROKEN : NOT_RUN;
    }
}
