package org.banyanspoke.standins.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.standins.ControlServer;

/**
 * Relays TCP connections from local ports to target addresses. Silent or reset links simulate a network partition.
 *
 * <p>Control routes: {@code GET /links} returns the link states by listening port; {@code POST /links} with
 * {@code {"ports": [...], "state": "open|silent|reset"}} sets the state of these links, or of all links if the list is
 * empty or absent.
 */
public final class TcpRelay extends VerticleBase {
    /**
     * Forwarding rule of a link.
     *
     * @param port listening port; 0 selects a free port
     * @param target destination as {@code ip:port}
     */
    public record Route(int port, String target) {
        /**
         * Parses {@code port=ip:port}.
         *
         * @throws IllegalArgumentException if the text does not have this form
         */
        public static Route parse(String text) {
            String[] parts = text.split("=", 2);
            if (parts.length != 2 || !parts[1].matches("[0-9.]+:[0-9]+")) {
                throw new IllegalArgumentException("\"" + text + "\" does not have the form PORT=IP:PORT");
            }
            return new Route(Integer.parseInt(parts[0]), parts[1]);
        }
    }

    private record Cut(List<Integer> ports, LinkState state) {}

    private final List<Route> routes;
    private final int controlPort;
    private final Map<Integer, RelayLink> links = new TreeMap<>();
    private ControlServer control;

    /**
     * @param routes one route for each link
     * @param controlPort port of the control API; 0 selects a free port
     */
    public TcpRelay(List<Route> routes, int controlPort) {
        this.routes = List.copyOf(routes);
        this.controlPort = controlPort;
    }

    @Override
    public Future<?> start() {
        control = new ControlServer(vertx)
                .get("/links", query -> linkStates())
                .post("/links", (query, body) -> changeLinks(body));
        NetClient client = vertx.createNetClient();
        List<Future<?>> listening = new ArrayList<>();
        for (Route route : routes) {
            listening.add(listen(route, client));
        }
        return Future.all(listening).compose(all -> control.start(controlPort));
    }

    /** Returns the listening ports. */
    public List<Integer> ports() {
        return List.copyOf(links.keySet());
    }

    /** Returns the port of the control API. */
    public int controlPort() {
        return control.port();
    }

    private Future<?> listen(Route route, NetClient client) {
        String[] target = route.target().split(":", 2);
        RelayLink link = new RelayLink(client, SocketAddress.inetSocketAddress(Integer.parseInt(target[1]), target[0]));
        return vertx.createNetServer()
                .connectHandler(link::accept)
                .listen(route.port(), "127.0.0.1")
                .onSuccess(server -> links.put(server.actualPort(), link));
    }

    private Future<Map<Integer, LinkState>> changeLinks(JsonNode body) throws JsonProcessingException {
        Cut cut = Json.mapper().treeToValue(body, Cut.class);
        List<Integer> ports = cut.ports() == null || cut.ports().isEmpty() ? ports() : cut.ports();
        for (int port : ports) {
            RelayLink link = links.get(port);
            if (link == null) {
                throw new IllegalArgumentException("no link on port " + port);
            }
            link.setState(cut.state());
        }
        return Future.succeededFuture(linkStates());
    }

    private Map<Integer, LinkState> linkStates() {
        Map<Integer, LinkState> states = new TreeMap<>();
        links.forEach((port, link) -> states.put(port, link.state()));
        return states;
    }
}
