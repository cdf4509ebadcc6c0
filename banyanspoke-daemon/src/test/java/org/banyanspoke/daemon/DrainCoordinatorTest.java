package org.banyanspoke.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(10)
class DrainCoordinatorTest {
    private static final long NOTICE_MILLIS = 200;

    private final Vertx vertx = Vertx.vertx();
    private final List<String> steps = new CopyOnWriteArrayList<>();
    private final Promise<Void> lastJob = Promise.promise();
    private final Promise<Void> handedOver = Promise.promise();
    private final DrainCoordinator drain = new DrainCoordinator(
            vertx, NOTICE_MILLIS, () -> step("finish", lastJob), () -> step("hand over", handedOver));

    private Future<Void> step(String name, Promise<Void> end) {
        steps.add(name);
        return end.future();
    }

    private void awaitStep(String name) throws InterruptedException {
        while (!steps.contains(name)) {
            Thread.sleep(5);
        }
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    @Nested
    class Order {
        /** Guards against refusing work before load balancers have seen the readiness change. */
        @Test
        void acceptsWorkDuringTheNoticePeriod() throws Exception {
            long startNanos = System.nanoTime();
            drain.request();
            assertThat(drain.isRequested()).isTrue();
            awaitStep("finish");
            assertThat(System.nanoTime() - startNanos).isGreaterThanOrEqualTo(NOTICE_MILLIS * 1_000_000);
        }

        /** Guards against handing over the job records before the last jobs have ended. */
        @Test
        void handsOverAfterTheLastJob() throws Exception {
            drain.request();
            awaitStep("finish");
            assertThat(steps).containsExactly("finish");
            lastJob.complete();
            awaitStep("hand over");
            handedOver.complete();
            drain.awaitEnd();
            assertThat(drain.hasFailed()).isFalse();
        }
    }

    @Nested
    class RepeatedRequest {
        /** Guards against a second SIGTERM that shortens the shutdown or repeats the handover. */
        @Test
        void hasNoEffect() throws Exception {
            drain.request();
            drain.request();
            lastJob.complete();
            handedOver.complete();
            drain.awaitEnd();
            assertThat(steps).containsExactly("finish", "hand over");
        }
    }

    @Nested
    class Failure {
        /** Guards against a process that never ends, or ends with code 0, after a failed handover. */
        @Test
        void isReported() throws Exception {
            drain.request();
            lastJob.complete();
            handedOver.fail("no successor");
            drain.awaitEnd();
            assertThat(drain.hasFailed()).isTrue();
        }
    }
}
