package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;
import org.banyanspoke.core.membership.Swim;
import org.banyanspoke.core.quota.LoanGrant;
import org.banyanspoke.core.quota.LoanRequest;
import org.banyanspoke.core.quota.QuotaLending;
import org.banyanspoke.daemon.control.LocalDispatch;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.generated.Frame;
import org.jboss.logging.Logger;

/** Requests quota loans from members and handles their requests. Inactive until a dispatch service is attached. */
public final class LoanExchange {
    private static final Logger LOG = Logger.getLogger(LoanExchange.class);

    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

    /** One request for a new loan and one for a renewal. */
    private static final int MAX_REQUESTS = 2;

    private final QuotaLending lending;
    private final Swim swim;
    private final PeerRpc peers;
    private final Scheduler controlThread;
    private final CompositeDisposable running = new CompositeDisposable();
    private LocalDispatch dispatch;

    /**
     * @param lending decides on requests and grants
     * @param swim live members
     * @param peers sends requests to members
     * @param controlThread runs lending and handlers
     */
    public LoanExchange(QuotaLending lending, Swim swim, PeerRpc peers, Scheduler controlThread) {
        this.lending = lending;
        this.swim = swim;
        this.peers = peers;
        this.controlThread = controlThread;
    }

    /** Registers the handler of loan requests. */
    public void start() {
        peers.handle(Frame.BodyCase.LOAN_REQUEST, this::onRequest);
    }

    /** Cancels pending requests. */
    public void stop() {
        running.dispose();
    }

    /** Sets the dispatch service and applies the current shares. */
    public void attach(LocalDispatch localDispatch) {
        dispatch = localDispatch;
        enforceShares();
    }

    /** Applies a configuration. */
    public void configure(ConfigState config) {
        lending.configure(config);
        enforceShares();
    }

    /** Requests loans for teams whose demand exceeds their share. Called once a second. */
    public void tick() {
        if (dispatch != null) {
            running.add(dispatch.demand()
                    .observeOn(controlThread)
                    .flatMapCompletable(this::borrow)
                    .subscribe(() -> {}, e -> LOG.debugf("loan request failed: %s", e)));
        }
    }

    private Completable borrow(Map<TeamId, TeamDemand> demand) {
        List<HostId> live =
                swim.table().live().stream().map(member -> member.config().id()).toList();
        List<LoanRequest> requests = lending.tick(demand, live);
        return applyShares()
                .andThen(Flowable.fromIterable(requests).flatMapCompletable(this::send, true, MAX_REQUESTS));
    }

    private Completable send(LoanRequest request) {
        Frame.Builder frame = Frame.newBuilder().setLoanRequest(toMessage(request));
        return Maybe.fromOptional(peers.address(request.lender()))
                .toSingle()
                .flatMap(address -> peers.request(address, frame, REQUEST_TIMEOUT_MILLIS))
                .map(reply -> fromMessage(reply.frame().getLoanGrant()))
                .filter(grant -> !grant.granted().isEmpty())
                .flatMapCompletable(this::onGrant);
    }

    private Completable onGrant(LoanGrant grant) {
        lending.onGrant(grant);
        return applyShares();
    }

    /** Applies the lender's reduced share before the borrower may use the loan. */
    private Single<Frame.Builder> onRequest(PeerIdentity from, Frame frame) {
        LoanRequest request = fromMessage(frame.getLoanRequest());
        Optional<LoanGrant> grant = dispatch == null ? Optional.empty() : lending.onRequest(request);
        LoanGrant answer = grant.orElseGet(() -> new LoanGrant(
                request.borrower(), request.lender(), request.requestId(), request.configNumber(), Map.of()));
        return applyShares()
                .andThen(Single.fromSupplier(() -> Frame.newBuilder().setLoanGrant(toMessage(answer))));
    }

    private void enforceShares() {
        running.add(applyShares().subscribe(() -> {}, e -> LOG.error("could not apply quota shares", e)));
    }

    private Completable applyShares() {
        return dispatch == null ? Completable.complete() : dispatch.applyShares(lending.shares());
    }

    private static org.banyanspoke.peer.generated.LoanRequest toMessage(LoanRequest request) {
        return org.banyanspoke.peer.generated.LoanRequest.newBuilder()
                .setBorrower(request.borrower().value())
                .setLender(request.lender().value())
                .setRequestId(request.requestId())
                .setConfigNumber(request.configNumber())
                .addAllWanted(PeerMessages.toMessage(request.wanted()))
                .build();
    }

    private static LoanRequest fromMessage(org.banyanspoke.peer.generated.LoanRequest message) {
        return new LoanRequest(
                new HostId(message.getBorrower()),
                new HostId(message.getLender()),
                message.getRequestId(),
                message.getConfigNumber(),
                PeerMessages.fromMessage(message.getWantedList()));
    }

    private static org.banyanspoke.peer.generated.LoanGrant toMessage(LoanGrant grant) {
        return org.banyanspoke.peer.generated.LoanGrant.newBuilder()
                .setBorrower(grant.borrower().value())
                .setLender(grant.lender().value())
                .setRequestId(grant.requestId())
                .setConfigNumber(grant.configNumber())
                .addAllGranted(PeerMessages.toMessage(grant.granted()))
                .build();
    }

    private static LoanGrant fromMessage(org.banyanspoke.peer.generated.LoanGrant message) {
        return new LoanGrant(
                new HostId(message.getBorrower()),
                new HostId(message.getLender()),
                message.getRequestId(),
                message.getConfigNumber(),
                PeerMessages.fromMessage(message.getGrantedList()));
    }
}
