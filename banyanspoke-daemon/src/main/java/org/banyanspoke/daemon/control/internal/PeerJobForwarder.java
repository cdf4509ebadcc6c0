package org.banyanspoke.daemon.control.internal;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.membership.RetiredUpdate;
import org.banyanspoke.core.membership.Swim;
import org.banyanspoke.daemon.control.ForwardReply;
import org.banyanspoke.daemon.control.ForwardRequest;
import org.banyanspoke.daemon.control.JobForwarder;
import org.banyanspoke.daemon.control.LocalDispatch;
import org.banyanspoke.peer.PeerException;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.JobAction;
import org.banyanspoke.peer.generated.JobForward;
import org.banyanspoke.peer.generated.JobForwardReply;

/**
 * Forwards requests to the owner of a job over the peer protocol, and handles requests forwarded by other hosts.
 *
 * <p>Requests are sent only to addresses of the roster: a job id comes from a caller and may name any address. Whether
 * an owner is lost is decided by the process that answers at its address, not by gossip, which may be older than the
 * job id.
 */
public final class PeerJobForwarder implements JobForwarder {
    private final Incarnation self;
    private final Swim swim;
    private final PeerRpc peers;
    private final ArchiveStore archives;
    private final Scheduler controlThread;
    private volatile LocalDispatch dispatch;

    /**
     * @param self this process
     * @param swim members and retired processes
     * @param peers sends requests to members
     * @param archives archives that this host holds
     * @param controlThread runs routing and handlers
     */
    public PeerJobForwarder(
            Incarnation self, Swim swim, PeerRpc peers, ArchiveStore archives, Scheduler controlThread) {
        this.self = self;
        this.swim = swim;
        this.peers = peers;
        this.archives = archives;
        this.controlThread = controlThread;
    }

    /** Registers the handler of forwarded requests. */
    public void start() {
        peers.handle(Frame.BodyCase.JOB_FORWARD, this::onForward);
    }

    /** Sets the dispatch service that handles requests for jobs of this process. Thread-safe. */
    public void attach(LocalDispatch localDispatch) {
        dispatch = localDispatch;
    }

    @Override
    public Single<ForwardReply> forward(ForwardRequest request, long timeoutMillis) {
        return Single.defer(() -> route(request, timeoutMillis)).subscribeOn(controlThread);
    }

    private Single<ForwardReply> route(ForwardRequest request, long timeoutMillis) {
        JobId job = request.jobId();
        if (archives.has(job.incarnation())) {
            return archives.answer(request);
        }
        Optional<RetiredUpdate> retired = swim.retired().find(job.incarnation());
        if (retired.isPresent() && retired.get().successor() == null) {
            return Single.error(lost(job));
        }
        if (retired.isEmpty() && job.host().equals(swim.table().self().host())) {
            return Single.error(lost(job));
        }
        Optional<String> address =
                peers.address(retired.map(RetiredUpdate::successor).orElse(job.host()));
        return address.map(target -> send(target, request, timeoutMillis))
                .orElseGet(() -> Single.error(unreachable(job, "its host is not in the roster", null)));
    }

    private Single<ForwardReply> send(String address, ForwardRequest request, long timeoutMillis) {
        JobForward.Builder message = JobForward.newBuilder()
                .setAction(JobAction.valueOf(request.action().name()))
                .setTeam(request.team().value())
                .setJobId(request.jobId().toString())
                .setBody(ByteString.copyFrom(request.body()))
                .setWait(request.waitForEnd())
                .setWaitMillis(request.waitMillis());
        return peers.request(address, Frame.newBuilder().setJobForward(message), timeoutMillis)
                .map(reply -> reply.frame().getJobForwardReply())
                .flatMap(reply ->
                        reply.getKnownOwner() ? Single.just(toReply(reply)) : Single.error(lost(request.jobId())))
                .onErrorResumeNext(e ->
                        Single.error(e instanceof PeerException ? unreachable(request.jobId(), e.getMessage(), e) : e));
    }

    /** Handles a forwarded request on the control thread; a job of this process goes to the dispatch service. */
    private Single<Frame.Builder> onForward(PeerIdentity from, Frame frame) {
        ForwardRequest request = fromMessage(frame.getJobForward());
        LocalDispatch local = dispatch;
        if (request.jobId().incarnation().equals(self) && local != null) {
            return local.handle(request).map(PeerJobForwarder::toMessage);
        }
        if (archives.has(request.jobId().incarnation())) {
            return archives.answer(request).map(PeerJobForwarder::toMessage);
        }
        return Single.just(Frame.newBuilder()
                .setJobForwardReply(JobForwardReply.newBuilder().setKnownOwner(false)));
    }

    private static ForwardRequest fromMessage(JobForward message) {
        return new ForwardRequest(
                ForwardRequest.Action.valueOf(message.getAction().name()),
                new TeamId(message.getTeam()),
                JobId.parse(message.getJobId()),
                message.getBody().toByteArray(),
                message.getWait(),
                message.getWaitMillis());
    }

    private static Frame.Builder toMessage(ForwardReply reply) {
        return Frame.newBuilder()
                .setJobForwardReply(JobForwardReply.newBuilder()
                        .setKnownOwner(true)
                        .setHttpStatus(reply.httpStatus())
                        .setBody(ByteString.copyFrom(reply.body()))
                        .setRetryAfterMillis(reply.retryAfterMillis()));
    }

    private static ForwardReply toReply(JobForwardReply message) {
        return new ForwardReply(
                message.getHttpStatus(), message.getBody().toByteArray(), message.getRetryAfterMillis());
    }

    private static DispatchException lost(JobId job) {
        return new DispatchException(
                ErrorKind.OWNER_LOST,
                "the process that owned job \"" + job + "\" has ended; the job will never run again");
    }

    private static DispatchException unreachable(JobId job, String reason, Throwable cause) {
        return new DispatchException(
                ErrorKind.OWNER_UNREACHABLE, "the owner of job \"" + job + "\" cannot be reached: " + reason, cause);
    }
}
