package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import org.banyanspoke.host.standins.ClientCrowd;
import org.banyanspoke.host.standins.Eventually;
import org.banyanspoke.host.standins.HostUnderTest;
import org.banyanspoke.host.standins.LeasedServer;
import org.banyanspoke.host.standins.RunLedger;
import org.banyanspoke.host.standins.StoreStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/**
 * Clients that send more than they may, against an entry host as a separate process with a small heap. Guards against a
 * host that ends, hangs, grows without bound or no longer answers ordinary requests because of such clients. Checks
 * nothing that depends on the speed of the machine.
 */
@Isolated
class ExcessiveClientsTest {
    private static final int CLIENTS = 200;
    private static final String HEAP = "-Xmx48m";
    /** The heap, and as much again and a half for code, classes, stacks and the garbage collector. */
    private static final long RESIDENT_LIMIT_BYTES = 180L << 20;
    /** The clients' connections, and the files, listeners and connections of the process itself. */
    private static final int DESCRIPTOR_LIMIT = CLIENTS + 200;

    /** Connections of the ordinary caller, to the server and of a scrape, which may be new or not. */
    private static final int NEW_DESCRIPTORS = 10;

    private static final int MAX_BODY_BYTES = 262_144;
    private static final int LARGE_CHUNK_BYTES = 32_768;
    private static final int SMALL_CHUNK_BYTES = 4;
    /** Chunks are written in parts of this size, so that all clients progress together. */
    private static final int BODY_PART_BYTES = 16_384;

    /** More than a host reads from a connection at a time, so that it finds as much as it is ready to read. */
    private static final int PIPELINE_PART_BYTES = 262_144;

    private static final int JOBS_PER_CLIENT = 4_000;
    private static final int BARE_REQUESTS_PER_CLIENT = 20_000;

    private static final int CAPACITY_MILLICORES = 16_000;
    private static final int TASK_MILLICORES = 4_000;
    /** Starting a Java process on a loaded machine takes several seconds. */
    private static final long START_MILLIS = 40_000;

    private static final long STABLE_MILLIS = 1_500;
    /** Bounds the wait for a response that never comes. */
    private static final long ANSWER_MILLIS = 30_000;

    private final Vertx vertx = Vertx.vertx();
    private final RunLedger ledger = new RunLedger(true);
    private final StoreStandin store = new StoreStandin(vertx);
    private final AtomicInteger nextJob = new AtomicInteger(1);
    private HostUnderTest host;

    /** Contains the output of the host; kept if a test fails. */
    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    @BeforeEach
    void startHost() throws Exception {
        Eventually.await(store.start());
        store.putConfiguration(1, 1.6);
        LeasedServer server = new LeasedServer(vertx, ledger, CAPACITY_MILLICORES, TASK_MILLICORES, 1_000);
        Eventually.await(server.start());
        store.put("keyed.servers", "i-0", server.entry("a"));
        host = new HostUnderTest("host", folder);
        host.settings("a", 2.0, store.address());
        host.start(HEAP);
        Eventually.stableWithin(
                START_MILLIS,
                STABLE_MILLIS,
                () -> host.readiness() == 200 && host.metric("pool_capacity_millicores") == CAPACITY_MILLICORES,
                "the host serves");
    }

    @AfterEach
    void stop() throws Exception {
        host.kill();
        Eventually.await(vertx.close());
        assertThat(ledger.violations()).isEmpty();
    }

    @Test
    void unfinishedBodiesInLargeChunks() throws Exception {
        assertServesDuringAndAfter(client -> unfinishedBody(LARGE_CHUNK_BYTES));
    }

    @Test
    void unfinishedBodiesInSmallChunks() throws Exception {
        assertServesDuringAndAfter(client -> unfinishedBody(SMALL_CHUNK_BYTES));
    }

    @Test
    void pipelinedJobsWhoseResponsesAreNotRead() throws Exception {
        String body = HostUnderTest.jobBody(1, TASK_MILLICORES, 20);
        assertServesDuringAndAfter(client -> repeated(
                JOBS_PER_CLIENT,
                () ->
                        "POST /q/%016x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Banyanspoke-Deadline-Ms: 1500\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                                .formatted(nextJob.getAndIncrement(), body.length(), body)));
    }

    @Test
    void pipelinedRequestsWithoutHeadersWhoseResponsesAreNotRead() throws Exception {
        assertServesDuringAndAfter(client -> repeated(BARE_REQUESTS_PER_CLIENT, () -> "GET /q/ HTTP/1.1\r\n\r\n"));
    }

    private void assertServesDuringAndAfter(IntFunction<ClientCrowd.Input> inputs) throws Exception {
        int idleDescriptors = host.openDescriptors();
        try (ClientCrowd crowd = new ClientCrowd(host.callerPort(), CLIENTS, inputs)) {
            crowd.send();
            assertWithinBounds();
            Eventually.within(ANSWER_MILLIS, () -> host.readiness() == 200, "the readiness check is answered");
            assertThat(ordinaryRequest().statusCode()).as("during the load").isIn(200, 503);
        }
        assertThat(ordinaryRequest().statusCode())
                .as("once the clients are gone")
                .isEqualTo(200);
        assertWithinBounds();
        Eventually.within(
                ANSWER_MILLIS,
                () -> openDescriptors() < idleDescriptors + CLIENTS / 2,
                "the descriptors of closed connections are released");
        Eventually.within(
                ANSWER_MILLIS,
                () -> openDescriptors() <= idleDescriptors + NEW_DESCRIPTORS && host.metric("callers_held_bytes") == 0,
                "all that the clients held is released");
    }

    private int openDescriptors() {
        try {
            return host.openDescriptors();
        } catch (IOException e) {
            throw new AssertionError("the process is gone", e);
        }
    }

    private void assertWithinBounds() throws IOException {
        assertThat(host.process().isAlive()).as("the process lives").isTrue();
        assertThat(host.output()).doesNotContain("OutOfMemoryError");
        assertThat(host.residentBytes()).as("resident set").isLessThan(RESIDENT_LIMIT_BYTES);
        assertThat(host.openDescriptors()).as("descriptors").isLessThan(DESCRIPTOR_LIMIT);
    }

    private HttpResponse<String> ordinaryRequest() throws Exception {
        String job = "%016x".formatted(Long.MAX_VALUE - nextJob.getAndIncrement());
        return host.submit(job, 1, TASK_MILLICORES, 20, 3_000, ANSWER_MILLIS).get(ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns a chunked request whose body stays just below the limit and has no end. */
    private ClientCrowd.Input unfinishedBody(int chunkBytes) {
        String head = "POST /q/%016x HTTP/1.1\r\nHost: 127.0.0.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                .formatted(nextJob.getAndIncrement());
        String chunk = Integer.toHexString(chunkBytes) + "\r\n" + " ".repeat(chunkBytes) + "\r\n";
        int chunksPerPart = Math.max(1, BODY_PART_BYTES / chunkBytes);
        String part = chunk.repeat(chunksPerPart);
        int parts = (MAX_BODY_BYTES - 1) / (chunksPerPart * chunkBytes);
        AtomicInteger sent = new AtomicInteger();
        return () -> {
            int index = sent.getAndIncrement();
            if (index == 0) {
                return encode(head);
            }
            return index <= parts ? encode(part) : null;
        };
    }

    private static ClientCrowd.Input repeated(int count, Supplier<String> request) {
        AtomicInteger sent = new AtomicInteger();
        return () -> {
            StringBuilder part = new StringBuilder();
            while (part.length() < PIPELINE_PART_BYTES && sent.getAndIncrement() < count) {
                part.append(request.get());
            }
            return part.isEmpty() ? null : encode(part.toString());
        };
    }

    private static ByteBuffer encode(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }
}
