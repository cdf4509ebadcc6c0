package org.banyanspoke.standins.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.VerticleBase;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.standins.ControlServer;
import org.banyanspoke.standins.Options;

/**
 * Simulated backend servers {@code b0}, {@code b1} and so on, which share one process and one ledger.
 *
 * <p>Control routes: {@code GET /options}; {@code POST /options?servers=0,2} with the fields of {@link ServerOptions}
 * to change; {@code POST /silence?servers=0,2} makes the open connections unresponsive; {@code GET /ledger} returns
 * the {@link Ledger.Summary}; {@code GET /ledger/job?id=...} returns the number of starts of each task of a job;
 * {@code POST /zones} sets the {@link ZoneDelay}; {@code POST /flush} flushes the ledger to its file. Without
 * {@code servers}, a change applies to all servers.
 */
public final class BackendFleet extends VerticleBase {
    private static final long FLUSH_PERIOD_MILLIS = 500;

    private final List<BackendServer> servers = new ArrayList<>();
    private final Ledger ledger;
    private final int controlPort;
    private ControlServer control;

    /**
     * @param options initial properties and faults of each server
     * @param basePort port of the first server, followed by those of the others; 0 selects free ports
     * @param controlPort port of the control API; 0 selects a free port
     * @param ledger records task starts and finishes; closed when the fleet stops
     * @param seed random seed for the selection of failing tasks and stragglers
     */
    public BackendFleet(List<ServerOptions> options, int basePort, int controlPort, Ledger ledger, long seed) {
        this.ledger = ledger;
        this.controlPort = controlPort;
        for (int i = 0; i < options.size(); i++) {
            int port = basePort == 0 ? 0 : basePort + i;
            servers.add(new BackendServer(
                    "b" + i,
                    port,
                    options.get(i),
                    ledger,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(seed + i)::nextDouble));
        }
    }

    @Override
    public Future<?> start() {
        control = new ControlServer(vertx)
                .get("/options", query -> optionsById())
                .get("/ledger", query -> ledger.summary())
                .get("/ledger/job", query -> ledger.startsByTask(query.get("id")))
                .post("/options", this::changeOptions)
                .post("/silence", (query, body) -> applyToServers(query, BackendServer::silenceConnections))
                .post("/zones", (query, body) -> setZoneDelay(body))
                .post("/flush", (query, body) -> flush());
        vertx.setPeriodic(FLUSH_PERIOD_MILLIS, timer -> ledger.flush());
        List<Future<?>> started = new ArrayList<>();
        for (BackendServer server : servers) {
            started.add(vertx.deployVerticle(server));
        }
        return Future.all(started).compose(all -> control.start(controlPort));
    }

    @Override
    public Future<?> stop() throws Exception {
        ledger.close();
        return super.stop();
    }

    /** Returns the servers in order of their index. */
    public List<BackendServer> servers() {
        return List.copyOf(servers);
    }

    /** Returns the port of the control API. */
    public int controlPort() {
        return control.port();
    }

    private Future<ZoneDelay> setZoneDelay(JsonNode body) throws JsonProcessingException {
        ZoneDelay delay = Json.mapper().treeToValue(body, ZoneDelay.class);
        if (delay.serverZones().size() != servers.size()) {
            throw new IllegalArgumentException("serverZones must have " + servers.size() + " values");
        }
        for (int i = 0; i < servers.size(); i++) {
            int index = i;
            servers.get(i).setNetworkDelay(request -> delay.requestDelayMicros(index, request.getHeader("Job-Id")));
        }
        return Future.succeededFuture(delay);
    }

    private Future<?> flush() {
        ledger.flush();
        return Future.succeededFuture(Map.of("flushed", true));
    }

    private Map<String, ServerOptions> optionsById() {
        Map<String, ServerOptions> options = new TreeMap<>();
        servers.forEach(server -> options.put(server.id(), server.options()));
        return options;
    }

    private Future<?> changeOptions(MultiMap query, JsonNode patch) throws JsonProcessingException {
        List<ServerOptions> checked = new ArrayList<>();
        for (BackendServer server : selectedServers(query)) {
            checked.add(Options.patch(server.options(), patch, ServerOptions.class));
        }
        List<BackendServer> targets = selectedServers(query);
        List<Future<?>> changes = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            ServerOptions next = checked.get(i);
            changes.add(targets.get(i).change(before -> next));
        }
        return Future.all(changes).map(all -> optionsById());
    }

    private Future<?> applyToServers(MultiMap query, Function<BackendServer, Future<Integer>> action) {
        List<Future<?>> actions = new ArrayList<>();
        for (BackendServer server : selectedServers(query)) {
            actions.add(action.apply(server));
        }
        return Future.all(actions).map(all -> all.list());
    }

    private List<BackendServer> selectedServers(MultiMap query) {
        String text = query.get("servers");
        if (text == null) {
            return servers;
        }
        return Arrays.stream(text.split(",", -1))
                .map(index -> servers.get(Integer.parseInt(index)))
                .toList();
    }
}
