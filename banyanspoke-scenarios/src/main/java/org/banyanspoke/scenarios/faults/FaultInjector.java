package org.banyanspoke.scenarios.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.scenarios.cluster.Callers;
import org.banyanspoke.scenarios.cluster.Contract;
import org.banyanspoke.scenarios.cluster.TestCluster;

/** Injects and heals the faults of a schedule. */
final class FaultInjector {
    private static final int FLOOD_JOBS = 40;
    private static final int FLOOD_TASKS = 50;
    private static final long FLOOD_TASK_MILLIS = 100;
    private static final int LOST_ANSWERS = 2;
    private static final int TICKET_ATTEMPTS = 5;
    private static final int HTTP_OK = 200;

    private final TestCluster cluster;
    private final Callers callers;
    private final Set<Integer> listedAsLeaving = ConcurrentHashMap.newKeySet();
    private final AtomicLong ticketCount = new AtomicLong();

    FaultInjector(TestCluster cluster, Callers callers) {
        this.cluster = cluster;
        this.callers = callers;
    }

    void inject(PlannedFault fault) throws Exception {
        int index = fault.index();
        switch (fault.kind()) {
            case KILL_HOST -> cluster.killHost(index);
            case FREEZE_HOST -> cluster.freezeHost(index);
            case STOP_HOST -> cluster.beginGracefulShutdown(index);
            case CUT_HOST -> cluster.setLinks(index, true, false, "silent");
            case CUT_HOST_FROM_LOG -> cluster.setLinks(index, false, true, "silent");
            case CUT_ZONE -> cluster.setZoneLinks(index, "silent");
            case LOG_REFUSES -> cluster.changeLog(Map.of("outage", "refuse"));
            case LOG_SILENT -> cluster.changeLog(Map.of("outage", "silent"));
            case LOG_SLOW -> cluster.changeLog(Map.of("slowMillis", 1_000));
            case LOG_LOSES_ANSWERS -> {
                cluster.changeLog(Map.of("loseAnswers", LOST_ANSWERS));
                sendCompetingTickets();
            }
            case SERVER_DIES -> cluster.changeServer(index, Map.of("down", true));
            case SERVER_FREEZES -> cluster.changeServer(index, Map.of("frozen", true));
            case SERVER_FAILS -> cluster.changeServer(index, Map.of("failEverything", true));
            case SERVER_LEAVES_BY_TICKET -> {
                if (sendServerTicket(index, ServerState.LEAVING)) {
                    cluster.recordLeaving(index);
                }
            }
            case SERVER_LEAVES_BY_LIST -> {
                listedAsLeaving.add(index);
                cluster.setLeavingInHostList(Set.copyOf(listedAsLeaving));
                cluster.recordLeaving(index);
            }
            case SERVER_LEAVES_BY_ANSWER -> {
                cluster.changeServer(index, Map.of("leaving", true));
                cluster.recordLeaving(index);
            }
            case FLOOD -> callers.submit(Contract.FLOOD, FLOOD_JOBS, FLOOD_TASKS, FLOOD_TASK_MILLIS, true, -1, 1);
            case CANCELLATIONS -> callers.cancelAll();
            case TICKET_RACE -> sendCompetingTickets();
        }
    }

    void heal(PlannedFault fault) throws Exception {
        int index = fault.index();
        switch (fault.kind()) {
            case KILL_HOST -> startReplacement(index);
            case FREEZE_HOST -> cluster.resumeHost(index);
            case STOP_HOST -> {
                int exitCode = cluster.awaitExit(index);
                if (exitCode != 0) {
                    throw new IllegalStateException(
                            "host " + index + " exited after its graceful shutdown with code " + exitCode);
                }
                startReplacement(index);
            }
            case CUT_HOST -> cluster.setLinks(index, true, false, "open");
            case CUT_HOST_FROM_LOG -> cluster.setLinks(index, false, true, "open");
            case CUT_ZONE -> cluster.setZoneLinks(index, "open");
            case LOG_REFUSES, LOG_SILENT -> cluster.changeLog(Map.of("outage", "none"));
            case LOG_SLOW -> cluster.changeLog(Map.of("slowMillis", 0));
            case LOG_LOSES_ANSWERS -> cluster.changeLog(Map.of("loseAnswers", 0));
            case SERVER_DIES -> cluster.changeServer(index, Map.of("down", false));
            case SERVER_FREEZES -> cluster.changeServer(index, Map.of("frozen", false));
            case SERVER_FAILS -> cluster.changeServer(index, Map.of("failEverything", false));
            case SERVER_LEAVES_BY_TICKET -> {
                cluster.recordInService(index);
                sendServerTicket(index, ServerState.IN_SERVICE);
            }
            case SERVER_LEAVES_BY_LIST, SERVER_LEAVES_BY_ANSWER, FLOOD, CANCELLATIONS, TICKET_RACE -> {}
        }
    }

    private void startReplacement(int host) throws Exception {
        cluster.restartHost(host);
        cluster.awaitReady(host);
    }

    /** Sends a different ticket with the same next number through each host concurrently. */
    private void sendCompetingTickets() throws InterruptedException {
        long number = latestNumber() + 1;
        List<CompletableFuture<Integer>> responses = new ArrayList<>();
        cluster.hostIndexes().forEach(host -> {
            Ticket ticket = cluster.promiseTicket(number, "race-" + ticketCount.incrementAndGet(), 15_000 + host);
            responses.add(CompletableFuture.supplyAsync(() -> send(host, ticket)));
        });
        responses.forEach(CompletableFuture::join);
    }

    /** Sends a ticket that sets a server's state, with retries; returns whether it was accepted. */
    private boolean sendServerTicket(int server, ServerState state) throws InterruptedException {
        for (int i = 0; i < TICKET_ATTEMPTS; i++) {
            if (send(i % cluster.hosts(), cluster.serverTicket(latestNumber() + 1, server, state)) == HTTP_OK) {
                return true;
            }
        }
        return false;
    }

    private int send(int host, Ticket ticket) {
        try {
            return cluster.sendTicket(host, ticket);
        } catch (Exception e) {
            // Without a response the outcome is unknown: the ticket may have been accepted.
            return -1;
        }
    }

    private long latestNumber() throws InterruptedException {
        long latest = 0;
        for (int host = 0; host < cluster.hosts(); host++) {
            latest = Math.max(latest, cluster.observeConfig(host, false));
        }
        return latest;
    }
}
