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
 * Appends tickets to the log and determines their outcome.
 *
 * <p>An append is repeated until the log contains a ticket with the number. Readers ignore a record whose number
 * is already taken, so a retry cannot apply a ticket twice.
 */
public final class TicketAppender {
    /** Timeout of one append, including retries. */
    private static final long APPEND_TIMEOUT_MILLIS = 5_000;

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
     * @param clock for the timeout
     */
    public TicketAppender(
            LogClient log, LogReader reader, ConfigHolder config, Scheduler controlThread, MonotonicClock clock) {
        this.log = log;
        this.reader = reader;
        this.config = config;
        this.controlThread = controlThread;
        this.clock = clock;
    }

    /** Appends a ticket. Emits every outcome as a value; fails only on an internal error of this process. */
    public Single<TicketOutcome> append(Ticket ticket) {
        return Single.defer(() -> new Attempt(ticket).run()).subscribeOn(controlThread);
    }

    /** One call of {@link #append}. */
    private final class Attempt {
        private final Ticket ticket;
        private final JsonNode logRecord;
        private final long deadlineMillis = clock.millis() + APPEND_TIMEOUT_MILLIS;
        private boolean mayBeOnLog;

        Attempt(Ticket ticket) {
            this.ticket = ticket;
            this.logRecord =
                    Json.mapper().createObjectNode().set("ticket", Json.mapper().valueToTree(ticket));
        }

        /** Reads the log first unless the ticket has the next number, as this host may lag behind the log. */
        Single<TicketOutcome> run() {
            boolean next = ticket.number() == config.state().number() + 1;
            Completable refresh = next ? Completable.complete() : reader.readToEnd();
            return refresh.andThen(Single.defer(this::checkAndAppend)).onErrorResumeNext(this::onReadFailed);
        }

        private Single<TicketOutcome> onReadFailed(Throwable e) {
            if (!(e instanceof PlatformException)) {
                return Single.error(e);
            }
            return knownOutcome()
                    .switchIfEmpty(Single.fromSupplier(() -> outcome(State.LOG_UNAVAILABLE, e.getMessage())));
        }

        private Single<TicketOutcome> checkAndAppend() {
            return knownOutcome().switchIfEmpty(Single.defer(this::validateAndAppend));
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
                    .onErrorResumeNext(this::onAppendFailed)
                    .andThen(Completable.defer(reader::readToEnd))
                    .onErrorComplete(PlatformException.class::isInstance)
                    .andThen(Single.defer(this::resolveOrRetry));
        }

        private Completable onAppendFailed(Throwable e) {
            if (!(e instanceof PlatformException failure)) {
                return Completable.error(e);
            }
            mayBeOnLog |= failure.mayHaveTakenEffect();
            return Completable.complete();
        }

        private Single<TicketOutcome> resolveOrRetry() {
            return knownOutcome().switchIfEmpty(Single.defer(this::retry));
        }

        private Single<TicketOutcome> retry() {
            if (clock.millis() + RETRY_MILLIS >= deadlineMillis) {
                return Single.just(timedOut());
            }
            return Completable.timer(RETRY_MILLIS, TimeUnit.MILLISECONDS, controlThread)
                    .andThen(Single.defer(this::appendAgain));
        }

        /** Checks the outcome first: a push from a peer may have resolved the ticket during the retry delay. */
        private Single<TicketOutcome> appendAgain() {
            return knownOutcome().switchIfEmpty(Single.defer(this::appendOnce));
        }

        private TicketOutcome timedOut() {
            if (mayBeOnLog) {
                return outcome(
                        State.UNKNOWN, "ticket " + ticket.number() + " was sent to the log but has not been confirmed");
            }
            return outcome(State.LOG_UNAVAILABLE, "the log could not be reached; the ticket was not appended");
        }

        /** Returns the outcome if a ticket with the number has been accepted. */
        private Maybe<TicketOutcome> knownOutcome() {
            if (config.state().number() < ticket.number()) {
                return Maybe.empty();
            }
            Optional<Ticket> accepted = config.tracker().ticket(ticket.number()).map(t -> t.ticket());
            return Maybe.just(accepted.map(this::compare).orElseGet(this::evictedTicketOutcome));
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

        /**
         * Returns the outcome for a taken number whose ticket is not retained; it can be this ticket only if this call
         * may have appended it.
         */
        private TicketOutcome evictedTicketOutcome() {
            return outcome(
                    mayBeOnLog ? State.UNKNOWN : State.CONFLICT,
                    "number " + ticket.number()
                            + " is taken by a ticket that this host no longer retains; the next number is "
                            + (config.state().number() + 1));
        }

        private TicketOutcome outcome(State state, String message) {
            return new TicketOutcome(state, ticket.number(), message);
        }
    }
}
