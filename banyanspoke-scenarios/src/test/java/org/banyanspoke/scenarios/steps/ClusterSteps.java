package org.banyanspoke.scenarios.steps;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.scenarios.cluster.Callers;
import org.banyanspoke.scenarios.cluster.Contract;
import org.banyanspoke.scenarios.cluster.HistoryRecorder;
import org.banyanspoke.scenarios.cluster.TestCluster;
import org.banyanspoke.scenarios.history.Event;
import org.banyanspoke.scenarios.history.HistoryChecker;

/** Step definitions. Steps number entry hosts, zones and backend servers from 1. */
public class ClusterSteps {
    private static final long CONFIG_CONVERGENCE_TIMEOUT_MILLIS = 5_000;

    private final HistoryRecorder recorder = new HistoryRecorder();
    private final List<Integer> ticketStatuses = new ArrayList<>();
    private TestCluster cluster;
    private Callers callers;
    private long ticketNumber = 1;

    @Given("a system of {int} entry hosts and {int} backend servers")
    public void startCluster(int hosts, int servers) throws Exception {
        cluster = new TestCluster(home(), hosts, servers, recorder);
        callers = new Callers(cluster, recorder);
        cluster.start();
    }

    private static Path home() {
        Path directory = Path.of("").toAbsolutePath();
        while (!Files.exists(directory.resolve("bin/banyanspoked"))) {
            directory = directory.getParent();
        }
        return directory;
    }

    @When("callers submit {int} jobs of {int} {idempotence} tasks of {int} ms")
    public void submit(int jobs, int tasks, boolean idempotent, int runMillis) {
        callers.submit(jobs, tasks, runMillis, idempotent, -1, 1);
    }

    @When("callers submit {int} jobs of {int} {idempotence} tasks of {int} ms through host {int}")
    public void submitThrough(int jobs, int tasks, boolean idempotent, int runMillis, int host) {
        callers.submit(jobs, tasks, runMillis, idempotent, host - 1, 1);
    }

    @When(
            "callers submit {int} jobs of {int} {idempotence} tasks of {int} ms through host {int} and all others at once")
    public void submitThroughAll(int jobs, int tasks, boolean idempotent, int runMillis, int host) {
        callers.submit(jobs, tasks, runMillis, idempotent, host - 1, cluster.hosts());
    }

    @When("callers of {contract} submit {int} jobs of {int} {idempotence} tasks of {int} ms")
    public void submitForContract(Contract contract, int jobs, int tasks, boolean idempotent, int runMillis) {
        callers.submit(contract, jobs, tasks, runMillis, idempotent, -1, 1);
    }

    @When("callers of {contract} submit {int} jobs of {int} {idempotence} tasks of {int} ms through every host at once")
    public void submitForContractThroughAll(Contract contract, int jobs, int tasks, boolean idempotent, int runMillis) {
        callers.submit(contract, jobs, tasks, runMillis, idempotent, -1, cluster.hosts());
    }

    @When("callers cancel all jobs")
    public void cancelAll() throws Exception {
        callers.cancelAll();
    }

    @When("{int} ms pass")
    public void waitFor(int millis) throws InterruptedException {
        Thread.sleep(millis);
    }

    @When("{int} job(s) has/have been accepted")
    public void awaitAcceptedJobs(int jobs) throws Exception {
        TestCluster.await(jobs + " reserved jobs", () -> callers.reservedJobs() >= jobs);
    }

    /** Precedes faults that must hit jobs in progress; a fixed delay is unreliable on a busy machine. */
    @When("{int} tasks have been started and none has ended")
    public void awaitStartedWithNoneFinished(int tasks) throws Exception {
        TestCluster.await(tasks + " started tasks", () -> cluster.countLedgerEvents("start") >= tasks);
        assertThat(cluster.countLedgerEvents("finish")).as("finished tasks").isZero();
    }

    @When("host {int} is killed")
    public void killHost(int host) {
        cluster.killHost(host - 1);
    }

    @When("host {int} is frozen")
    public void freezeHost(int host) throws Exception {
        cluster.freezeHost(host - 1);
    }

    @When("host {int} goes on")
    public void resumeHost(int host) throws Exception {
        cluster.resumeHost(host - 1);
    }

    @When("host {int} is started again")
    public void restartHost(int host) throws Exception {
        cluster.restartHost(host - 1);
        cluster.awaitReady(host - 1);
    }

    @When("host {int} begins to stop gracefully")
    public void beginGracefulShutdown(int host) throws Exception {
        cluster.beginGracefulShutdown(host - 1);
    }

    @Then("host {int} has stopped gracefully")
    public void hasShutDownGracefully(int host) throws Exception {
        assertThat(cluster.awaitExit(host - 1)).as("exit code of host " + host).isZero();
    }

    @When("host {int} stops gracefully")
    public void shutDownGracefully(int host) throws Exception {
        cluster.beginGracefulShutdown(host - 1);
        assertThat(cluster.awaitExit(host - 1)).as("exit code of host " + host).isZero();
    }

    @When("every host is restarted gracefully in turn")
    public void rollingRestart() throws Exception {
        for (int host = 1; host <= cluster.hosts(); host++) {
            shutDownGracefully(host);
            restartHost(host);
        }
    }

    @When(
            "callers submit {int} jobs of {int} {idempotence} tasks of {int} ms before each host is restarted gracefully in turn")
    public void rollingRestartUnderLoad(int jobs, int tasks, boolean idempotent, int runMillis) throws Exception {
        for (int host = 1; host <= cluster.hosts(); host++) {
            callers.submit(jobs, tasks, runMillis, idempotent, -1, 1);
            awaitAcceptedJobs(jobs * host);
            shutDownGracefully(host);
            restartHost(host);
        }
    }

    @When("host {int} is cut off from its peers")
    public void disconnectFromPeers(int host) throws Exception {
        cluster.setLinks(host - 1, true, false, "silent");
    }

    @When("host {int} is cut off from the platform")
    public void disconnectFromPlatform(int host) throws Exception {
        cluster.setLinks(host - 1, false, true, "silent");
    }

    @When("zone {int} is cut off")
    public void disconnectZone(int zone) throws Exception {
        cluster.setZoneLinks(zone - 1, "silent");
    }

    @When("all links are open again")
    public void reconnectAll() throws Exception {
        cluster.openAllLinks();
    }

    @When("host {int} is reachable again")
    public void reconnectHost(int host) throws Exception {
        cluster.setLinks(host - 1, true, true, "open");
    }

    @When("the log is down")
    public void startLogOutage() throws Exception {
        cluster.changeLog(Map.of("outage", "refuse"));
    }

    @When("the log is up again")
    public void endLogOutage() throws Exception {
        cluster.changeLog(Map.of("outage", "none"));
    }

    @When("the log keeps only its latest {int} record(s)")
    public void limitLogRecords(int records) throws Exception {
        cluster.changeLog(Map.of("keepRecords", records));
    }

    @When("the answer to the next append is lost")
    public void loseNextAppendResponse() throws Exception {
        cluster.changeLog(Map.of("loseAnswers", 1));
    }

    @When("an operator sends the next ticket through host {int}")
    public void sendTicket(int host) throws Exception {
        ticketNumber++;
        ticketStatuses.add(
                cluster.sendTicket(host - 1, cluster.promiseTicket(ticketNumber, "ticket-" + ticketNumber, 15_000)));
    }

    @When("operators race the next ticket through every host")
    public void sendCompetingTickets() {
        ticketNumber++;
        List<CompletableFuture<Integer>> sent = cluster.hostIndexes()
                .mapToObj(host ->
                        cluster.promiseTicket(ticketNumber, "ticket-" + ticketNumber + "-host" + host, 10_000 + host))
                .map(ticket -> CompletableFuture.supplyAsync(() -> send(ticket)))
                .toList();
        sent.forEach(status -> ticketStatuses.add(status.join()));
    }

    private int send(Ticket ticket) {
        int host =
                Integer.parseInt(ticket.ticketId().substring(ticket.ticketId().lastIndexOf("host") + 4));
        try {
            return cluster.sendTicket(host, ticket);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Given("the host list says that every server is in service")
    public void listAllServersAsLive() throws Exception {
        cluster.setLeavingInHostList(Set.of());
    }

    @When("server {int} is marked as leaving by ticket")
    public void markLeavingByTicket(int server) throws Exception {
        ticketNumber++;
        ticketStatuses.add(cluster.sendTicket(0, cluster.serverTicket(ticketNumber, server - 1, ServerState.LEAVING)));
        cluster.recordLeaving(server - 1);
    }

    @When("server {int} is marked as leaving by the host list")
    public void markLeavingByHostList(int server) throws Exception {
        cluster.setLeavingInHostList(Set.of(server - 1));
        cluster.recordLeaving(server - 1);
    }

    @When("server {int} says that it is leaving")
    public void reportLeavingByServer(int server) throws Exception {
        cluster.changeServer(server - 1, Map.of("leaving", true));
        cluster.recordLeaving(server - 1);
    }

    @When("server {int} fails everything")
    public void failAllTasks(int server) throws Exception {
        cluster.changeServer(server - 1, Map.of("failEverything", true));
    }

    @When("server {int} dies")
    public void killServer(int server) throws Exception {
        cluster.changeServer(server - 1, Map.of("down", true));
    }

    @When("server {int} freezes")
    public void freezeServer(int server) throws Exception {
        cluster.changeServer(server - 1, Map.of("frozen", true));
    }

    @When("all callers have their answers")
    public void awaitAllAnswers() throws Exception {
        callers.awaitAll();
    }

    @Then("exactly {int} ticket(s) is/are accepted")
    public void ticketsAccepted(int count) {
        assertThat(ticketStatuses.stream().filter(status -> status == 200)).hasSize(count);
    }

    @Then("host {int} shows the latest ticket within 5 s")
    public void showsLatestTicket(int host) throws InterruptedException {
        long endNanos = System.nanoTime() + CONFIG_CONVERGENCE_TIMEOUT_MILLIS * 1_000_000;
        long number = cluster.observeConfig(host - 1, false);
        while (number < ticketNumber && System.nanoTime() < endNanos) {
            Thread.sleep(100);
            number = cluster.observeConfig(host - 1, false);
        }
        assertThat(number).as("configuration of host " + host).isEqualTo(ticketNumber);
    }

    @Then("every host shows the latest ticket within 5 s")
    public void allShowLatestTicket() throws InterruptedException {
        for (int host = 1; host <= cluster.hosts(); host++) {
            showsLatestTicket(host);
        }
    }

    @Then("all jobs are complete")
    public void allJobsComplete() {
        assertThat(callers.jobsByOutcome().keySet())
                .as("messages: " + callers.firstErrorMessages())
                .containsExactly("complete");
    }

    @Then("every job is complete or has failed with {word}")
    public void allJobsCompleteOrFailed(String kind) {
        assertThat(callers.jobsByOutcome().keySet())
                .as("messages: " + callers.firstErrorMessages())
                .isSubsetOf("complete", kind);
    }

    @Then("all jobs have failed with {word}")
    public void allJobsFailed(String kind) {
        assertThat(callers.jobsByOutcome().keySet())
                .as("messages: " + callers.firstErrorMessages())
                .containsExactly(kind);
    }

    @Then("no task was started")
    public void noTaskStarted() throws Exception {
        cluster.recordLedger(callers.resultByTask());
        assertThat(recorder.history().eventsOfType(Event.Started.class)).isEmpty();
    }

    @Then("at least {int} jobs are complete")
    public void atLeastComplete(int jobs) {
        assertThat(callers.jobsByOutcome()
                        .getOrDefault("complete", new AtomicInteger())
                        .get())
                .as("complete jobs of " + callers.jobsByOutcome())
                .isGreaterThanOrEqualTo(jobs);
    }

    @Then("at least {int} jobs have failed with {word}")
    public void atLeastFailed(int jobs, String kind) {
        assertThat(callers.jobsByOutcome()
                        .getOrDefault(kind, new AtomicInteger())
                        .get())
                .as("jobs by outcome: " + callers.jobsByOutcome())
                .isGreaterThanOrEqualTo(jobs);
    }

    @Then("no rule is broken")
    public void noRuleViolated() throws Exception {
        cluster.recordLedger(callers.resultByTask());
        assertThat(new HistoryChecker().check(recorder.history())).isEmpty();
    }

    /** Prints the process outputs if the scenario failed, then stops the processes. */
    @After
    public void shutDown(Scenario scenario) throws Exception {
        if (cluster == null) {
            return;
        }
        if (scenario.isFailed()) {
            scenario.log(cluster.outputTails());
            System.err.println(cluster.outputTails());
        }
        callers.close();
        cluster.close();
    }
}
