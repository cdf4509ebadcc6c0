package org.banyanspoke.daemon.control.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.core.config.AcceptedTicket;
import org.banyanspoke.core.config.ConfigTracker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigConfirmationTest {
    private long nowMillis;
    private final ConfigHolder config = new ConfigHolder(new ConfigTracker(10));
    private final ConfigConfirmation confirmation = new ConfigConfirmation(() -> nowMillis * 1_000_000, config);

    private void accept() {
        Ticket.Put put = new Ticket.Put(List.of(), List.of(), List.of(), List.of(), ClassShares.DEFAULT);
        config.onPeerTicket(new AcceptedTicket(new Ticket(1, "t", "alice", put, null), 0));
    }

    private void advance(long millis) {
        nowMillis += millis;
        confirmation.tick();
    }

    @Nested
    class Start {
        /** Guards against a host that accepts jobs without a configuration. */
        @Test
        void hostWithoutConfigurationIsNeverReady() {
            confirmation.onConfirmed();
            for (int i = 0; i < 100; i++) {
                advance(100);
            }
            assertThat(confirmation.readiness().ready()).isFalse();
        }
    }

    @Nested
    class Pause {
        /** Guards against a host that missed tickets during a pause starting jobs under an old configuration. */
        @Test
        void pausedHostWaitsForConfirmation() {
            accept();
            confirmation.onConfirmed();
            advance(1_000);
            assertThat(confirmation.readiness().ready()).isTrue();
            advance(1_001);
            assertThat(confirmation.readiness().ready()).isFalse();
            advance(500);
            assertThat(confirmation.readiness().ready()).isFalse();
            confirmation.onConfirmed();
            assertThat(confirmation.readiness().ready()).isTrue();
        }

        /** Guards against jobs that other threads accept after a pause before the control thread runs again. */
        @Test
        void pauseIsVisibleBeforeTheControlThreadRuns() {
            accept();
            confirmation.onConfirmed();
            advance(1_000);
            nowMillis += 1_000;
            assertThat(confirmation.isStalled()).isFalse();
            nowMillis += 1;
            assertThat(confirmation.isStalled()).isTrue();
        }

        /** Guards against a partitioned host rejecting jobs indefinitely. */
        @Test
        void partitionedHostServesAfterTwoSeconds() {
            accept();
            confirmation.onConfirmed();
            advance(5_000);
            for (int i = 0; i < 19; i++) {
                advance(100);
                assertThat(confirmation.readiness().ready()).isFalse();
            }
            advance(100);
            assertThat(confirmation.readiness().ready()).isTrue();
        }
    }
}
