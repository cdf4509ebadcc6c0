package org.banyanspoke.daemon.control.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.core.config.InvalidTicketException;
import org.banyanspoke.core.config.TicketReducer;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.control.TicketOutcome;
import org.banyanspoke.daemon.control.TicketOutcome.State;
import org.banyanspoke.daemon.platform.LogClient;
import org.banyanspoke.daemon.platform.PlatformException;

/**
 * Appends tickets and finds out what became of them.
 *
 * <p>An append is repeated until the log shows a ticket with the number. A second copy of a record on the log is a
 * repeated number, which every reader ignores, so a repetition cannot apply a ticket twice.
 */
public final class TicketAppender {
    /** The design's limit for one append. */
    private static final long LIMIT_MILLIS = 5_000;

    private static final long RETRY_MILLIS = 250;

    private final LogClient log;
    private final LogReader reader;
    private final ConfigHolder config;
    private final Scheduler controlThread;
    private final MonotonicClock clock;

    /**
     * @param log receives the records
     * @param reader reads the log to its end
     * @param config the accepted configuration
     * @param controlThread runs all steps
     * @param clock for the limit
     */
    public TicketAppender(
            LogClient log, LogReader reader, ConfigHolder config, Scheduler controlThread, MonotonicClock clock) {
        this.log = log;
        this.reader = reader;
        this.config = config;
        this.controlThread = controlThread;
        this.clock = clock;
    }

    /** Appends a ticket. Succeeds with every outcome; fails only on a fault of this process. */
    public Single<TicketOutcome> append(Ticket ticket) {
        return Single.defer(() -> new Attempt(ticket).run()).subscribeOn(controlThread);
    }

    /** One call of {@link #append}. */
    private final class Attempt {
        private final Ticket ticket;
        private final JsonNode logRecord;
        private final long deadlineMillis = clock.millis() + LIMIT_MILLIS;
        private boolean mayBeOnLog;

        Attempt(Ticket ticket) {
            this.ticket = ticket;
            this.logRecord =
                    Json.mapper().createObjectNode().set("ticket", Json.mapper().valueToTree(ticket));
        }

        /** Reads the log first if this host's view is not just before the ticket, as it may only lag. */
        Single<TicketOutcome> run() {
            boolean next = ticket.number() == config.state().number() + 1;
            Completable refresh = next ? Completable.complete() : reader.readToEnd();
            return refresh.andThen(Single.defer(this::checkAndAppend)).onErrorResumeNext(this::onReadFailed);
        }

        private Single<TicketOutcome> onReadFailed(Throwable e) {
            if (!(e instanceof PlatformException)) {
                return Single.error(e);
            }
            return settled().switchIfEmpty(Single.fromSupplier(() -> outcome(State.LOG_UNAVAILABLE, e.getMessage())));
        }

        private Single<TicketOutcome> checkAndAppend() {
            return settled().switchIfEmpty(Single.defer(this::validateAndAppend));
        }

        private Single<TicketOutcome> validateAndAppend() {
            try {
                TicketReducer.apply(config.state(), ticket);
            } catch (InvalidTicketException e) {
                return Single.just(outcome(State.INVALID, e.getMessage()));
            }
            return appendOnce();
        }

        private Single<TicketOutcome> appendOnce() {
            return log.append(logRecord)
                    .observeOn(controlThread)
                    .doOnSuccess(offset -> mayBeOnLog = true)
                    .ignoreElement()
                    .onErrorResumeNext(this::noteFailedAppend)
                    .andThen(Completable.defer(reader::readToEnd))
                    .onErrorComplete(PlatformException.class::isInstance)
                    .andThen(Single.defer(this::settleOrRetry));
        }

        private Completable noteFailedAppend(Throwable e) {
            if (!(e instanceof PlatformException failure)) {
                return Completable.error(e);
            }
            mayBeOnLog |= failure.mayHaveTakenEffect();
            return Completable.complete();
        }

        private Single<TicketOutcome> settleOrRetry() {
            return settled().switchIfEmpty(Single.defer(this::retry));
        }

        private Single<TicketOutcome> retry() {
            if (clock.millis() + RETRY_MILLIS >= deadlineMillis) {
                return Single.just(giveUp());
            }
            return Completable.timer(RETRY_MILLIS, TimeUnit.MILLISECONDS, controlThread)
                    .andThen(Single.defer(this::appendAgain));
        }

        /** A push from a peer may have settled the ticket while this host waited. */
        private Single<TicketOutcome> appendAgain() {
            return settled().switchIfEmpty(Single.defer(this::appendOnce));
        }

        private TicketOutcome giveUp() {
            if (mayBeOnLog) {
                return outcome(
                        State.UNKNOWN, "ticket " + ticket.number() + " was sent to the log and is not confirmed yet");
            }
            return outcome(State.LOG_UNAVAILABLE, "the log was not reached; the ticket was not appended");
        }

        /** Returns the outcome if a ticket with the number has been accepted. */
        private Maybe<TicketOutcome> settled() {
            if (config.state().number() < ticket.number()) {
                return Maybe.empty();
            }
            Optional<Ticket> accepted = config.tracker().ticket(ticket.number()).map(t -> t.ticket());
            return Maybe.just(accepted.map(this::compare).orElseGet(this::forgotten));
        }

        private TicketOutcome compare(Ticket accepted) {
            if (accepted.equals(ticket)) {
                return outcome(State.ACCEPTED, "");
            }
            return outcome(
                    State.CONFLICT,
                    "number " + ticket.number() + " belongs to ticket \"" + accepted.ticketId() + "\" of "
                            + accepted.author());
        }

        /** Only a ticket that this call has appended may be the one that took the number after the check. */
        private TicketOutcome forgotten() {
            return outcome(
                    mayBeOnLog ? State.UNKNOWN : State.CONFLICT,
                    "number " + ticket.number()
                            + " is taken and this host does not keep its ticket; the next number is "
                            + (config.state().number() + 1));
        }

        private TicketOutcome outcome(State state, String message) {
            return new TicketOutcome(state, ticket.number(), message);
        }
    }
}
