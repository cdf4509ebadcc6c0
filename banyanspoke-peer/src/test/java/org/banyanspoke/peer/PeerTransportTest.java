package org.banyanspoke.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.JobForward;
import org.banyanspoke.peer.generated.JobForwardReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class PeerTransportTest {
    private static final TransportLimits LIMITS = new TransportLimits(64 * 1024, 100 * 1024, 500, 200, 60_000);

    private final List<PeerTransport> started = new ArrayList<>();
    private final AtomicBoolean cut = new AtomicBoolean();
    private PeerTransport client;
    private PeerTransport server;
    private String serverAddress;

    @BeforeEach
    void startBoth() throws Exception {
        client = start("h1", LIMITS, (direction, address) -> !cut.get());
        server = start("h2", LIMITS, FrameFilter.NONE);
        serverAddress = server.self().address();
        server.handle(Frame.BodyCase.JOB_FORWARD, (from, frame) -> Single.just(echo(frame)));
    }

    @AfterEach
    void stopAll() throws Exception {
        for (PeerTransport transport : started) {
            transport.stop();
        }
    }

    private PeerTransport start(String host, TransportLimits limits, FrameFilter filter) throws Exception {
        PeerTransport transport = new PeerTransport(new HostId(host), new Incarnation(host.hashCode()), limits, filter);
        transport.start("127.0.0.1:0");
        started.add(transport);
        return transport;
    }

    private static Frame.Builder forward(String jobId, int bodyBytes) {
        return Frame.newBuilder()
                .setJobForward(
                        JobForward.newBuilder().setJobId(jobId).setBody(ByteString.copyFrom(new byte[bodyBytes])));
    }

    private static Frame.Builder echo(Frame request) {
        return Frame.newBuilder()
                .setJobForwardReply(JobForwardReply.newBuilder()
                        .setKnownOwner(true)
                        .setBody(request.getJobForward().getJobIdBytes()));
    }

    private static String text(PeerReply reply) {
        return reply.frame().getJobForwardReply().getBody().toStringUtf8();
    }

    private Single<PeerReply> ask(String jobId, long timeoutMillis) {
        return client.request(serverAddress, forward(jobId, 0), timeoutMillis);
    }

    private void awaitReply() throws Exception {
        for (int attempt = 0; attempt < 50; attempt++) {
            PeerReply reply = ask("again", 1_000)
                    .onErrorComplete(PeerException.class::isInstance)
                    .blockingGet();
            if (reply != null) {
                return;
            }
            Thread.sleep(50);
        }
        throw new AssertionError("no reply after the connection should have been replaced");
    }

    @Nested
    class Requests {
        /** Guards against replies without the identity that decides whether an owner is lost. */
        @Test
        void replyNamesTheProcessThatSentIt() {
            PeerReply reply = ask("a", 2_000).blockingGet();
            assertThat(text(reply)).isEqualTo("a");
            assertThat(reply.from()).isEqualTo(server.self());
        }

        /** Guards against a late reply to one request reaching the caller of the next one. */
        @Test
        void lateReplyIsNotDeliveredToAnotherCaller() {
            SingleSubject<Frame.Builder> late = SingleSubject.create();
            server.handle(
                    Frame.BodyCase.JOB_FORWARD,
                    (from, frame) -> frame.getJobForward().getJobId().equals("slow") ? late : Single.just(echo(frame)));
            assertThatThrownBy(() -> ask("slow", 100).blockingGet()).hasCauseInstanceOf(PeerException.class);
            SingleSubject<PeerReply> next = SingleSubject.create();
            server.handle(Frame.BodyCase.JOB_FORWARD, (from, frame) -> {
                late.onSuccess(echo(forward("slow", 0).build()));
                return Single.just(echo(frame)).delay(50, TimeUnit.MILLISECONDS);
            });
            ask("next", 2_000).subscribe(next);
            assertThat(text(next.blockingGet())).isEqualTo("next");
        }

        /** Guards against replies in another order than the requests being mixed up. */
        @Test
        void repliesOutOfOrderReachTheirOwnCallers() {
            server.handle(Frame.BodyCase.JOB_FORWARD, (from, frame) -> {
                int index = Integer.parseInt(frame.getJobForward().getJobId());
                return Single.just(echo(frame)).delay(100 - index, TimeUnit.MILLISECONDS);
            });
            List<Single<PeerReply>> requests = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                requests.add(ask(String.valueOf(i), 5_000));
            }
            List<String> answers = Single.concatEager(requests)
                    .map(PeerTransportTest::text)
                    .toList()
                    .blockingGet();
            for (int i = 0; i < 100; i++) {
                assertThat(answers.get(i)).isEqualTo(String.valueOf(i));
            }
            assertThat(client.openConnections()).isEqualTo(1);
        }

        /** Guards against a failing handler leaving its caller without an answer. */
        @Test
        void failureOfTheHandlerIsReported() {
            server.handle(Frame.BodyCase.JOB_FORWARD, (from, frame) -> {
                throw new IllegalStateException("broken");
            });
            assertThatThrownBy(() -> ask("a", 2_000).blockingGet()).hasMessageContaining("broken");
            assertThatThrownBy(() -> client.request(
                                    serverAddress,
                                    Frame.newBuilder()
                                            .setProbe(org.banyanspoke.peer.generated.Probe.getDefaultInstance()),
                                    2_000)
                            .blockingGet())
                    .hasMessageContaining("no handler for PROBE");
        }
    }

    @Nested
    class Limits {
        /** Guards against one oversized request closing the connection for all others. */
        @Test
        void oversizedRequestIsRefusedBeforeItIsSent() {
            assertThatThrownBy(() -> client.request(serverAddress, forward("big", 65 * 1024), 2_000)
                            .blockingGet())
                    .hasMessageContaining("bytes")
                    .cause()
                    .isInstanceOfSatisfying(
                            PeerException.class,
                            e -> assertThat(e.mayHaveArrived()).isFalse());
            assertThat(text(ask("a", 2_000).blockingGet())).isEqualTo("a");
        }

        /** Guards against a peer that announces a frame above the limit making this process allocate it. */
        @Test
        void oversizedFrameClosesTheConnection() throws Exception {
            String[] parts = serverAddress.split(":");
            try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
                socket.setSoTimeout(5_000);
                new DataOutputStream(socket.getOutputStream()).writeInt(512 * 1024);
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
        }

        /** Guards against a message whose parts together are above the limit. */
        @Test
        void oversizedMessageClosesTheConnection() throws Exception {
            String[] parts = serverAddress.split(":");
            try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
                socket.setSoTimeout(5_000);
                DataOutputStream out = new DataOutputStream(socket.getOutputStream());
                out.writeInt(8);
                out.writeInt(1);
                out.writeInt(LIMITS.maxMessageBytes() + 1);
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
        }

        /** Guards against large jobs and responses that pass only through the owner of the job. */
        @Test
        void largeMessagesPassInBothDirections() throws Exception {
            PeerTransport sender = start("h3");
            PeerTransport receiver = start("h4");
            receiver.handle(
                    Frame.BodyCase.JOB_FORWARD,
                    (from, frame) -> Single.just(Frame.newBuilder()
                            .setJobForwardReply(JobForwardReply.newBuilder()
                                    .setBody(frame.getJobForward().getBody()))));
            byte[] body = new byte[20 * 1024 * 1024 + 1];
            new Random(1).nextBytes(body);
            Frame.Builder large =
                    Frame.newBuilder().setJobForward(JobForward.newBuilder().setBody(ByteString.copyFrom(body)));
            Single<PeerReply> both = Single.zip(
                    sender.request(receiver.self().address(), large, 10_000),
                    sender.request(receiver.self().address(), large, 10_000),
                    (first, second) -> {
                        assertThat(second.frame().getJobForwardReply())
                                .isEqualTo(first.frame().getJobForwardReply());
                        return first;
                    });
            assertThat(both.blockingGet().frame().getJobForwardReply().getBody().toByteArray())
                    .isEqualTo(body);
        }

        /** Guards against probes that wait behind a large job and make its sender a suspect. */
        @Test
        void smallMessageOvertakesALargeOne() throws Exception {
            PeerTransport sender = start("h3");
            PeerTransport receiver = start("h4");
            List<String> arrived = new CopyOnWriteArrayList<>();
            receiver.handle(Frame.BodyCase.JOB_FORWARD, (from, frame) -> {
                arrived.add(frame.getJobForward().getJobId());
                return Single.just(echo(frame));
            });
            String address = receiver.self().address();
            assertThat(text(sender.request(address, forward("first", 0), 5_000).blockingGet()))
                    .isEqualTo("first");
            PeerReply reply = Single.zip(
                            sender.request(address, forward("large", 60 * 1024 * 1024), 10_000),
                            sender.request(address, forward("small", 0), 10_000),
                            (large, small) -> large)
                    .blockingGet();
            assertThat(text(reply)).isEqualTo("large");
            assertThat(arrived).containsExactly("first", "small", "large");
        }

        private PeerTransport start(String host) throws Exception {
            return PeerTransportTest.this.start(host, TransportLimits.DEFAULT, FrameFilter.NONE);
        }

        /** Guards against requests to a peer that does not read piling up in memory. */
        @Test
        void requestsBeyondTheQueueLimitFailAtOnce() throws Exception {
            try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                String address = "127.0.0.1:" + silent.getLocalPort();
                SingleSubject<PeerReply> first = SingleSubject.create();
                client.request(address, forward("1", 60 * 1024), 5_000).subscribe(first);
                assertThatThrownBy(() -> client.request(address, forward("2", 60 * 1024), 5_000)
                                .blockingGet())
                        .hasMessageContaining("wait already");
                assertThat(first.hasThrowable()).isFalse();
            }
        }
    }

    @Nested
    class Connections {
        /** Guards against an unreachable peer being reported as one that may have got the request. */
        @Test
        void refusedConnectionStatesThatNothingArrived() throws Exception {
            server.stop();
            assertThatThrownBy(() -> ask("a", 2_000).blockingGet())
                    .cause()
                    .isInstanceOfSatisfying(
                            PeerException.class,
                            e -> assertThat(e.mayHaveArrived()).isFalse());
        }

        /** Guards against a connection that went silent being used for ever while new ones work. */
        @Test
        void silentConnectionIsReplaced() throws Exception {
            try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
                AtomicInteger accepted = new AtomicInteger();
                inBackground(() -> relay(listener, accepted));
                serverAddress = "127.0.0.1:" + listener.getLocalPort();
                assertThatThrownBy(() -> ask("lost", 5_000).blockingGet()).hasMessageContaining("silent for");
                awaitReply();
                assertThat(accepted.get()).isEqualTo(2);
            }
        }

        /** Guards against a slow answer being taken for a silent connection. */
        @Test
        void slowHandlerKeepsItsConnection() {
            server.handle(
                    Frame.BodyCase.JOB_FORWARD,
                    (from, frame) -> Single.just(echo(frame)).delay(1_500, TimeUnit.MILLISECONDS));
            assertThat(text(ask("slow", 5_000).blockingGet())).isEqualTo("slow");
        }

        /** Guards against a fault hook that cuts peers off only in part or for ever. */
        @Test
        void cutPeerIsReachableAgainAfterTheCut() throws Exception {
            assertThat(text(ask("a", 2_000).blockingGet())).isEqualTo("a");
            cut.set(true);
            assertThatThrownBy(() -> ask("b", 300).blockingGet()).hasCauseInstanceOf(PeerException.class);
            cut.set(false);
            awaitReply();
        }

        private static void inBackground(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        /** Passes the exchange of identities of the first connection and nothing more; later connections pass all. */
        private void relay(ServerSocket listener, AtomicInteger accepted) {
            String target = server.self().address();
            try {
                while (true) {
                    Socket near = listener.accept();
                    boolean helloOnly = accepted.incrementAndGet() == 1;
                    Socket far = new Socket("127.0.0.1", Integer.parseInt(target.split(":")[1]));
                    inBackground(() -> copy(near, far, helloOnly));
                    inBackground(() -> copy(far, near, helloOnly));
                }
            } catch (java.io.IOException e) {
                // The listener was closed at the end of the test.
            }
        }

        private void copy(Socket from, Socket to, boolean oneFrame) {
            try (DataInputStream in = new DataInputStream(from.getInputStream());
                    DataOutputStream out = new DataOutputStream(to.getOutputStream())) {
                boolean pass = true;
                while (true) {
                    byte[] frame = new byte[in.readInt()];
                    in.readFully(frame);
                    if (pass) {
                        out.writeInt(frame.length);
                        out.write(frame);
                        out.flush();
                    }
                    pass = !oneFrame;
                }
            } catch (java.io.IOException e) {
                // One side has closed.
            }
        }
    }

    /** Guards against a job that a host starts though its sender is gone and has told the caller so. */
    @Nested
    class WorkThatEndsWithItsConnection {
        private final CountDownLatch asked = new CountDownLatch(1);
        private final CountDownLatch disposed = new CountDownLatch(1);

        private void stopSenderWhileItWaits(boolean endsWithConnection) throws Exception {
            PeerHandler handler = (from, frame) -> {
                asked.countDown();
                return SingleSubject.<Frame.Builder>create().doOnDispose(disposed::countDown);
            };
            server.handle(
                    Frame.BodyCase.JOB_FORWARD,
                    endsWithConnection ? PeerHandler.endingWithConnection(handler) : handler);
            PeerTransport sender = start("h3", LIMITS, FrameFilter.NONE);
            var unused =
                    sender.request(serverAddress, forward("job", 1), 10_000).subscribe(reply -> {}, error -> {});
            assertThat(asked.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(disposed.getCount()).isEqualTo(1);
            sender.stop();
        }

        @Test
        void isDisposedOfWhenTheSenderIsGone() throws Exception {
            stopSenderWhileItWaits(true);
            assertThat(disposed.await(10, TimeUnit.SECONDS)).isTrue();
        }

        @Test
        void goesOnOtherwise() throws Exception {
            stopSenderWhileItWaits(false);
            assertThat(disposed.await(1, TimeUnit.SECONDS)).isFalse();
        }
    }
}
