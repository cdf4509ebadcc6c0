package org.banyanspoke.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.rxjava3.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class HttpHostListClientTest {
    private static final String LIST = "{\"hosts\":[{\"id\":\"s1\",\"role\":\"backend\",\"state\":\"%s\"}]}";

    private final Vertx vertx = Vertx.vertx();
    private final Set<Object> connections = new HashSet<>();
    private volatile String state = "live";
    private volatile boolean tagged = true;
    private volatile boolean silent;
    private HttpHostListClient client;

    @BeforeEach
    void start() throws Exception {
        io.vertx.core.http.HttpServer server = vertx.getDelegate()
                .createHttpServer()
                .requestHandler(this::respond)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
        client = new HttpHostListClient(vertx, "127.0.0.1:" + server.actualPort());
    }

    @AfterEach
    void stop() {
        vertx.close().blockingAwait();
    }

    private void respond(HttpServerRequest request) {
        connections.add(request.connection());
        if (silent) {
            return;
        }
        if (tagged) {
            request.response().putHeader("ETag", state);
        }
        if (tagged && state.equals(request.getHeader("If-None-Match"))) {
            request.response().setStatusCode(304).end();
        } else {
            request.response().end(LIST.formatted(state));
        }
    }

    private HostListRead read() {
        return client.read().blockingGet();
    }

    private static List<ListedHost> hosts(ListedHost.State state) {
        return List.of(new ListedHost("s1", ListedHost.Role.BACKEND, state));
    }

    /** Guards against an unchanged list that is sent again or is taken for an empty one, and against a missed change. */
    @Test
    void unchangedListCostsNoBodyAndAChangeIsSeen() {
        assertThat(read().bodyBytes()).isEqualTo(LIST.formatted("live").length());
        assertThat(read()).isEqualTo(new HostListRead(hosts(ListedHost.State.LIVE), 0));
        state = "leaving";
        assertThat(read().hosts()).isEqualTo(hosts(ListedHost.State.LEAVING));
        assertThat(read()).isEqualTo(new HostListRead(hosts(ListedHost.State.LEAVING), 0));
        assertThat(connections).hasSize(1);
    }

    /** Guards against a list without entity tags that seems to cost nothing. */
    @Test
    void listWithoutEntityTagReportsItsSizeEachTime() {
        tagged = false;
        read();
        assertThat(read().bodyBytes()).isEqualTo(LIST.formatted("live").length());
    }

    /** Guards against reads that wait for ever on a connection that went silent. */
    @Test
    void silentConnectionFailsOneRead() {
        read();
        silent = true;
        client.read().test().awaitDone(5, TimeUnit.SECONDS).assertError(PlatformException.class);
        silent = false;
        assertThat(read().bodyBytes()).isZero();
        assertThat(connections).hasSize(2);
    }
}
