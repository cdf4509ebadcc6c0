package org.banyanspoke.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import java.util.concurrent.atomic.AtomicLong;
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
    private final AtomicBoolean partitioned = new AtomicBoolean();
    /** Set to suspend the event loop of the client. */
    private final AtomicLong suspendMillis = new AtomicLong();

    private PeerTransport client;
    private PeerTransport server;
    private String serverAddress;

    @BeforeEach
    void startBoth() throws Exception {
        server = start("h2", LIMITS, FrameFilter.NONE);
        client = start("h1", LIMITS, (direction, address) -> !partitioned.get());
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
        AtomicLong suspension = host.equals("h1") ? suspendMillis : new AtomicLong();
        EventLoopGroup eventLoop =
                new MultiThreadIoEventLoopGroup(1, SuspendableIoHandler.factory(NioIoHandler.newFactory(), suspension));
        PeerTransport transport =
                new PeerTransport(new HostId(host), new Incarnation(host.hashCode()), limits, filter, eventLoop);
        transport.start("127.0.0.1:0");
        started.add(transport);
        return transport;
    }

    /** Such a request never ended, and neither did the job that it carried. */
    @Test
    void requestsToAnInvalidAddressFailAtOnce() {
        for (String address : new String[] {null, "somewhere", "10.0.0.1:99999", "10.0.0.1:", ":", "10.0.0.1:x"}) {
            var reply = client.request(address, forward("j", 1), 5_000).test();
            reply.awaitDone(1, TimeUnit.SECONDS)
                    .assertError(error -> error instanceof PeerException failure && !failure.mayHaveArrived());
        }
        assertThat(client.openConnections()).isZero();
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

    private Single<PeerReply> sendRequest(String jobId, long timeoutMillis) {
        return client.request(serverAddress, forward(jobId, 0), timeoutMillis);
    }

    private void awaitReply() throws Exception {
        for (int attempt = 0; attempt < 50; attempt++) {
            PeerReply reply = sendRequest("again", 1_000)
                    .onErrorComplete(PeerException.class::isInstance)
                    .blockingGet();
            if (reply != null) {
                return;
            }
            Thread.sleep(50);
        }
        throw new AssertionError("no reply on a new connection within 50 attempts");
    }

    @Nested
    class Requests {
        /** Guards against replies without the sender's identity, which decides whether a job's owner is lost. */
        @Test
        void replyNamesTheProcessThatSentIt() {
            PeerReply reply = sendRequest("a", 2_000).blockingGet();
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
            assertThatThrownBy(() -> sendRequest("slow", 100).blockingGet()).hasCauseInstanceOf(PeerException.class);
            SingleSubject<PeerReply> next = SingleSubject.create();
            server.handle(Frame.BodyCase.JOB_FORWARD, (from, frame) -> {
                late.onSuccess(echo(forward("slow", 0).build()));
                return Single.just(echo(frame)).delay(50, TimeUnit.MILLISECONDS);
            });
            sendRequest("next", 2_000).subscribe(next);
            assertThat(text(next.blockingGet())).isEqualTo("next");
        }

        /** Guards against mixing up replies that arrive in another order than the requests. */
        @Test
        void repliesOutOfOrderReachTheirOwnCallers() {
            server.handle(Frame.BodyCase.JOB_FORWARD, (from, frame) -> {
                int index = Integer.parseInt(frame.getJobForward().getJobId());
                return Single.just(echo(frame)).delay(100 - index, TimeUnit.MILLISECONDS);
            });
            List<Single<PeerReply>> requests = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                requests.add(sendRequest(String.valueOf(i), 5_000));
            }
            List<String> replies = Single.concatEager(requests)
                    .map(PeerTransportTest::text)
                    .toList()
                    .blockingGet();
            for (int i = 0; i < 100; i++) {
                assertThat(replies.get(i)).isEqualTo(String.valueOf(i));
            }
            assertThat(client.openConnections()).isEqualTo(1);
        }

        /** Guards against requests that get no reply because the handler throws. */
        @Test
        void handlerErrorIsReported() {
            server.handle(Frame.BodyCase.JOB_FORWARD, (from, frame) -> {
                throw new IllegalStateException("broken");
            });
            assertThatThrownBy(() -> sendRequest("a", 2_000).blockingGet()).hasMessageContaining("broken");
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
        /** Guards against an oversized request that closes the connection for all others. */
        @Test
        void oversizedRequestIsRejectedBeforeSending() {
            assertThatThrownBy(() -> client.request(serverAddress, forward("big", 65 * 1024), 2_000)
                            .blockingGet())
                    .hasMessageContaining("bytes")
                    .cause()
                    .isInstanceOfSatisfying(
                            PeerException.class,
                            e -> assertThat(e.mayHaveArrived()).isFalse());
            assertThat(text(sendRequest("a", 2_000).blockingGet())).isEqualTo("a");
        }

        /** Guards against allocating a buffer for a fragment whose announced length exceeds the limit. */
        @Test
        void oversizedFragmentClosesTheConnection() throws Exception {
            String[] parts = serverAddress.split(":");
            try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
                socket.setSoTimeout(5_000);
                new DataOutputStream(socket.getOutputStream()).writeInt(512 * 1024);
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
        }

        /** Guards against a message whose fragments together exceed the limit. */
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

        /** Guards against large jobs and responses that cannot be forwarded between hosts. */
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

        /** Guards against probes that are delayed by a large job, so that its sender becomes suspect. */
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

        /** Guards against unbounded memory use for requests to a peer that does not read. */
        @Test
        void requestsBeyondTheQueueLimitFailImmediately() throws Exception {
            try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                String address = "127.0.0.1:" + unresponsive.getLocalPort();
                SingleSubject<PeerReply> first = SingleSubject.create();
                client.request(address, forward("1", 60 * 1024), 5_000).subscribe(first);
                assertThatThrownBy(() -> client.request(address, forward("2", 60 * 1024), 5_000)
                                .blockingGet())
                        .hasMessageContaining("send queue full");
                assertThat(first.hasThrowable()).isFalse();
            }
        }
    }

    @Nested
    class Connections {
        /** Guards against reporting that an unreachable peer may have received the request. */
        @Test
        void refusedConnectionReportsThatNothingArrived() throws Exception {
            server.stop();
            assertThatThrownBy(() -> sendRequest("a", 2_000).blockingGet())
                    .cause()
                    .isInstanceOfSatisfying(
                            PeerException.class,
                            e -> assertThat(e.mayHaveArrived()).isFalse());
        }

        /** Guards against reusing an unresponsive connection indefinitely while new ones would work. */
        @Test
        void unresponsiveConnectionIsReplaced() throws Exception {
            try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
                AtomicInteger accepted = new AtomicInteger();
                inBackground(() -> relay(listener, accepted));
                serverAddress = "127.0.0.1:" + listener.getLocalPort();
                assertThatThrownBy(() -> sendRequest("lost", 5_000).blockingGet())
                        .hasMessageContaining("unresponsive for");
                awaitReply();
                assertThat(accepted.get()).isEqualTo(2);
            }
        }

        /** Guards against treating a slow handler as an unresponsive connection. */
        @Test
        void slowHandlerKeepsItsConnection() {
            server.handle(
                    Frame.BodyCase.JOB_FORWARD,
                    (from, frame) -> Single.just(echo(frame)).delay(1_500, TimeUnit.MILLISECONDS));
            assertThat(text(sendRequest("slow", 5_000).blockingGet())).isEqualTo("slow");
        }

        /** Guards against a fault-injection filter that partitions peers only partly or permanently. */
        @Test
        void partitionedPeerIsReachableAgainAfterwards() throws Exception {
            assertThat(text(sendRequest("a", 2_000).blockingGet())).isEqualTo("a");
            partitioned.set(true);
            assertThatThrownBy(() -> sendRequest("b", 300).blockingGet()).hasCauseInstanceOf(PeerException.class);
            partitioned.set(false);
            awaitReply();
        }

        private static void inBackground(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        /** Relays only the Hello frames of the first connection, and all data of later connections. */
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
                // Expected when the test closes the listener.
            }
        }

        private void copy(Socket from, Socket to, boolean oneFrame) {
            try (DataInputStream in = new DataInputStream(from.getInputStream());
                    DataOutputStream out = new DataOutputStream(to.getOutputStream())) {
                boolean forward = true;
                while (true) {
                    byte[] frame = new byte[in.readInt()];
                    in.readFully(frame);
                    if (forward) {
                        out.writeInt(frame.length);
                        out.write(frame);
                        out.flush();
                    }
                    forward = !oneFrame;
                }
            } catch (java.io.IOException e) {
                // Expected when one side closes its socket.
            }
        }
    }

    /** Guards against starting a job whose sender has disconnected and already told the caller that it failed. */
    /** After a suspension, the connection was closed and its requests failed although their replies had arrived. */
    @Nested
    class ASuspendedEventLoop {
        private static final long SUSPENDED_MILLIS = 1_000;

        @Test
        void readsTheRepliesThatHaveArrivedBeforeItChecksConnections() throws Exception {
            assertThat(text(sendRequest("first", 2_000).blockingGet())).isEqualTo("first");
            SingleSubject<Frame.Builder> reply = SingleSubject.create();
            CountDownLatch received = new CountDownLatch(1);
            server.handle(Frame.BodyCase.JOB_FORWARD, (from, frame) -> {
                received.countDown();
                return reply;
            });
            var answer = sendRequest("second", 5_000).test();
            received.await();
            suspendMillis.set(SUSPENDED_MILLIS);
            Thread.sleep(SUSPENDED_MILLIS / 2);
            reply.onSuccess(Frame.newBuilder().setJobForwardReply(JobForwardReply.getDefaultInstance()));
            answer.awaitDone(5, TimeUnit.SECONDS).assertNoErrors().assertValueCount(1);
        }
    }

    @Nested
    class CancellationOnDisconnect {
        private final CountDownLatch received = new CountDownLatch(1);
        private final CountDownLatch disposed = new CountDownLatch(1);

        private void stopSenderDuringRequest(boolean isCancelledOnDisconnect) throws Exception {
            PeerHandler handler = (from, frame) -> {
                received.countDown();
                return SingleSubject.<Frame.Builder>create().doOnDispose(disposed::countDown);
            };
            server.handle(
                    Frame.BodyCase.JOB_FORWARD,
                    isCancelledOnDisconnect ? PeerHandler.cancelledOnDisconnect(handler) : handler);
            PeerTransport sender = start("h3", LIMITS, FrameFilter.NONE);
            var unused =
                    sender.request(serverAddress, forward("job", 1), 10_000).subscribe(reply -> {}, error -> {});
            assertThat(received.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(disposed.getCount()).isEqualTo(1);
            sender.stop();
        }

        @Test
        void disposesOfTheReplyIfRequested() throws Exception {
            stopSenderDuringRequest(true);
            assertThat(disposed.await(10, TimeUnit.SECONDS)).isTrue();
        }

        @Test
        void doesNotDisposeOfTheReplyByDefault() throws Exception {
            stopSenderDuringRequest(false);
            assertThat(disposed.await(1, TimeUnit.SECONDS)).isFalse();
        }
    }
}
