package org.banyanspoke.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.subjects.SingleSubject;
import io.vertx.core.Future;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.Execution;
import org.banyanspoke.daemon.control.ForwardReply;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoppableForwarderTest {
    private static final ForwardReply REPLY = new ForwardReply(200, new byte[0], 0);

    private final SingleSubject<ForwardReply> owner = SingleSubject.create();
    private final StoppableForwarder forwarder = new StoppableForwarder((request, timeoutMillis) -> owner);

    @Nested
    class Stop {
        /** Guards against a graceful shutdown that drops a caller whose job still runs on another host. */
        @Test
        void waitsForRequestsInProgress() {
            TestObserver<ForwardReply> caller = forwarder.forward(null, 1).test();
            Future<Void> stopped = forwarder.stop();
            assertThat(stopped.isComplete()).isFalse();
            owner.onSuccess(REPLY);
            caller.assertValue(REPLY);
            assertThat(stopped.succeeded()).isTrue();
        }

        /**
         * Guards against a shutdown that never ends because callers keep sending requests for jobs of other hosts, and
         * against "not run" for a job that its owner may have run.
         */
        @Test
        void refusesFurtherRequests() {
            assertThat(forwarder.stop().succeeded()).isTrue();
            forwarder
                    .forward(null, 1)
                    .test()
                    .assertError(e -> e instanceof DispatchException refused
                            && refused.kind() == ErrorKind.OWNER_UNREACHABLE
                            && refused.kind().execution() == Execution.MAY_HAVE_RUN);
        }

        /** Guards against a request that stays counted as in progress after its owner failed. */
        @Test
        void doesNotWaitForFailedRequests() {
            TestObserver<ForwardReply> caller = forwarder.forward(null, 1).test();
            Future<Void> stopped = forwarder.stop();
            owner.onError(new IllegalStateException("owner failed"));
            caller.assertError(IllegalStateException.class);
            assertThat(stopped.succeeded()).isTrue();
        }
    }
}
