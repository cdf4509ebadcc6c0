package org.banyanspoke.daemon.control.internal;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorBody;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.core.identity.ArchivedJobs;
import org.banyanspoke.core.identity.JobArchive;
import org.banyanspoke.core.membership.Member;
import org.banyanspoke.core.membership.MemberState;
import org.banyanspoke.core.membership.RetiredUpdate;
import org.banyanspoke.core.membership.Swim;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.control.ForwardReply;
import org.banyanspoke.daemon.control.ForwardRequest;
import org.banyanspoke.daemon.control.Handover;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.generated.ArchiveAck;
import org.banyanspoke.peer.generated.ArchiveTransfer;
import org.banyanspoke.peer.generated.Frame;
import org.jboss.logging.Logger;

/** Job archives of processes that have left: takes them over, answers from them and passes them on. */
public final class ArchiveStore implements Handover {
    private static final Logger LOG = Logger.getLogger(ArchiveStore.class);

    /** Every open id of a stopped process has expired after this time. */
    private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(330);

    /** As much as a host keeps of its own answers. */
    private static final long MAX_ANSWER_BYTES = 64L * 1024 * 1024;

    /** A part of an archive; four parts may wait on one connection. */
    static final int PART_BYTES = 4 * 1024 * 1024;

    private static final long PART_TIMEOUT_MILLIS = 3_000;
    private static final long LEAVE_LIMIT_MILLIS = 10_000;

    /** Successors that are tried, so that one silent member does not use up the limit. */
    private static final int MAX_CANDIDATES = 3;

    /** Time for the last statements to reach other members before the process ends: one round of probes. */
    private static final long FAREWELL_MILLIS = 1_500;

    private final Swim swim;
    private final ZoneId zone;
    private final PeerLink peers;
    private final Scheduler controlThread;
    private final ArchivedJobs archived;
    private final Map<Incarnation, ByteString> serialized = new HashMap<>();
    private final Map<Incarnation, ArchiveAssembly> incoming = new HashMap<>();
    private final Runnable spreadNow;

    /**
     * @param swim members and retired processes
     * @param zone this host's zone
     * @param peers sends
     * @param controlThread runs everything
     * @param archived answers from archives
     * @param spreadNow sends pending statements to a few members at once
     */
    public ArchiveStore(
            Swim swim,
            ZoneId zone,
            PeerLink peers,
            Scheduler controlThread,
            ArchivedJobs archived,
            Runnable spreadNow) {
        this.swim = swim;
        this.zone = zone;
        this.peers = peers;
        this.controlThread = controlThread;
        this.archived = archived;
        this.spreadNow = spreadNow;
    }

    /** Returns an archive index with the limits of the design. */
    public static ArchivedJobs newArchivedJobs(MonotonicClock clock) {
        return new ArchivedJobs(clock, KEEP_NANOS, MAX_ANSWER_BYTES);
    }

    /** Sets the handler of transfers. */
    public void start() {
        peers.handle(Frame.BodyCase.ARCHIVE_TRANSFER, this::onTransfer);
    }

    /** Drops archives whose time has passed. */
    public void tick() {
        archived.expire();
        serialized.keySet().removeIf(incarnation -> !archived.has(incarnation));
    }

    /** Returns whether this host holds the archive of a process. */
    boolean has(Incarnation incarnation) {
        return archived.has(incarnation);
    }

    /** Answers a request from an archive that this host holds. */
    Single<ForwardReply> answer(ForwardRequest request) {
        try {
            return Single.just(reply(200, lookUp(request), 0));
        } catch (RefusedException e) {
            return Single.just(reply(e.kind().httpStatus(), new ErrorEnvelope(ErrorBody.of(e)), e.retryAfterMillis()));
        } catch (DispatchException e) {
            return Single.just(reply(e.kind().httpStatus(), new ErrorEnvelope(ErrorBody.of(e)), 0));
        }
    }

    private JobAnswer lookUp(ForwardRequest request) throws DispatchException {
        if (request.action() == ForwardRequest.Action.SUBMIT) {
            return archived.resubmit(
                    request.team(), request.jobId(), Hashing.sha256().hashBytes(request.body()));
        }
        return archived.status(request.team(), request.jobId());
    }

    /** The JSON form of an error that concerns no running job. */
    private record ErrorEnvelope(ErrorBody error) {}

    private static ForwardReply reply(int status, Object body, long retryAfterMillis) {
        int answerStatus = body instanceof JobAnswer answer && answer.error() != null
                ? answer.error().kind().httpStatus()
                : status;
        return new ForwardReply(answerStatus, PeerMessages.json(body).toByteArray(), retryAfterMillis);
    }

    @Override
    public Single<Optional<HostId>> leave(JobArchive archive) {
        return Single.defer(() -> transferAll(archive)).subscribeOn(controlThread);
    }

    private Single<Optional<HostId>> transferAll(JobArchive archive) {
        Map<Incarnation, ByteString> archives = new HashMap<>(serialized);
        archives.put(archive.incarnation(), PeerMessages.json(ArchiveDocument.of(archive)));
        return Flowable.fromIterable(candidates())
                .concatMapMaybe(
                        candidate -> transfer(candidate, archives).toMaybe().onErrorComplete())
                .firstElement()
                .timeout(LEAVE_LIMIT_MILLIS, TimeUnit.MILLISECONDS, controlThread)
                .map(Optional::of)
                .onErrorReturnItem(Optional.empty())
                .defaultIfEmpty(Optional.empty())
                .flatMap(successor -> farewell(archives, archive.incarnation(), successor));
    }

    /** Members of the own zone first; random within a zone, so that several leavers choose different successors. */
    private List<Member> candidates() {
        List<Member> members = new ArrayList<>(peers.randomLive(Integer.MAX_VALUE));
        members.sort(Comparator.comparing(member -> !member.config().zone().equals(zone)));
        return members.subList(0, Math.min(MAX_CANDIDATES, members.size()));
    }

    private Single<HostId> transfer(Member successor, Map<Incarnation, ByteString> archives) {
        return Flowable.fromIterable(archives.entrySet())
                .concatMapCompletable(entry -> transferOne(successor, entry.getKey(), entry.getValue()))
                .toSingleDefault(successor.config().id())
                .doOnError(e -> LOG.warnf(
                        "archive transfer to %s failed: %s", successor.config().id(), e));
    }

    private Completable transferOne(Member successor, Incarnation incarnation, ByteString content) {
        int parts = Math.max(1, (content.size() + PART_BYTES - 1) / PART_BYTES);
        return Flowable.range(0, parts).concatMapCompletable(part -> {
            int end = Math.min(content.size(), (part + 1) * PART_BYTES);
            Frame.Builder frame = Frame.newBuilder()
                    .setArchiveTransfer(ArchiveTransfer.newBuilder()
                            .setIncarnation(incarnation.value())
                            .setPart(part)
                            .setParts(parts)
                            .setContent(content.substring(part * PART_BYTES, end)));
            return sendPart(successor, frame);
        });
    }

    private Completable sendPart(Member successor, Frame.Builder frame) {
        return peers.request(successor.config().peerAddress(), frame, PART_TIMEOUT_MILLIS)
                .filter(reply -> reply.frame().getArchiveAck().getAccepted())
                .switchIfEmpty(Single.error(() -> new IllegalStateException("the part was not accepted")))
                .ignoreElement();
    }

    /** Tells the members who answers from now on and that this process has left. */
    private Single<Optional<HostId>> farewell(
            Map<Incarnation, ByteString> archives, Incarnation own, Optional<HostId> successor) {
        for (Incarnation incarnation : archives.keySet()) {
            boolean isOwn = incarnation.equals(own);
            if (isOwn || successor.isPresent()) {
                retire(incarnation, successor.orElse(null));
            }
        }
        swim.table().leave();
        spreadNow.run();
        return Single.timer(FAREWELL_MILLIS, TimeUnit.MILLISECONDS, controlThread)
                .map(tick -> successor);
    }

    private void retire(Incarnation incarnation, HostId successor) {
        Optional<RetiredUpdate> known = swim.retired().find(incarnation);
        HostId host = known.map(RetiredUpdate::host).orElse(swim.table().self().host());
        int transfers = known.map(RetiredUpdate::transfers).orElse(0) + 1;
        long ageMillis = known.map(RetiredUpdate::ageMillis).orElse(0L);
        swim.retired().merge(new RetiredUpdate(incarnation, host, successor, transfers, ageMillis));
    }

    /** A process that leaves itself takes no archive. */
    private Single<Frame.Builder> onTransfer(PeerIdentity from, Frame frame) {
        boolean staying = swim.table().self().state() == MemberState.ALIVE;
        if (staying) {
            takePart(frame.getArchiveTransfer());
        }
        return Single.just(
                Frame.newBuilder().setArchiveAck(ArchiveAck.newBuilder().setAccepted(staying)));
    }

    private void takePart(ArchiveTransfer transfer) {
        Incarnation incarnation = new Incarnation(transfer.getIncarnation());
        ArchiveAssembly assembly = incoming.computeIfAbsent(incarnation, key -> new ArchiveAssembly());
        Optional<ByteString> whole = assembly.add(transfer.getPart(), transfer.getParts(), transfer.getContent());
        if (whole.isPresent()) {
            incoming.remove(incarnation);
            archived.accept(
                    PeerMessages.parse(whole.get(), ArchiveDocument.class).toArchive());
            serialized.put(incarnation, whole.get());
            LOG.infof(
                    "archive of process %s taken over, %d bytes",
                    incarnation, whole.get().size());
        }
    }
}
