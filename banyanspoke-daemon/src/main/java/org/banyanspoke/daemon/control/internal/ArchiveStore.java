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

/** Stores job archives of processes that have left, answers requests from them and transfers them to a successor. */
public final class ArchiveStore implements Handover {
    private static final Logger LOG = Logger.getLogger(ArchiveStore.class);

    /** All outstanding job ids of a stopped process have expired after this time. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(330);

    /** Equal to the limit for the answers that a host retains of its own jobs. */
    private static final long MAX_ANSWER_BYTES = 64L * 1024 * 1024;

    /** Maximum size of one archive part; up to four parts may be queued on one connection. */
    static final int PART_BYTES = 4 * 1024 * 1024;

    private static final long PART_TIMEOUT_MILLIS = 3_000;
    private static final long TRANSFER_TIMEOUT_MILLIS = 10_000;

    /** Successors that are tried, so that one unresponsive member does not use up the timeout. */
    private static final int MAX_CANDIDATES = 3;

    /** Delay before the process ends in which the last updates reach other members: one probe round. */
    private static final long DEPARTURE_DISSEMINATION_MILLIS = 1_500;

    private final Swim swim;
    private final ZoneId zone;
    private final PeerRpc peers;
    private final Scheduler controlThread;
    private final ArchivedJobs archived;
    private final Map<Incarnation, ByteString> serialized = new HashMap<>();
    private final Map<Incarnation, ArchiveAssembly> incoming = new HashMap<>();
    private final Runnable sendPendingUpdates;

    /**
     * @param swim members and retired processes
     * @param zone this host's zone
     * @param peers sends requests to members
     * @param controlThread runs all steps
     * @param archived answers from archives
     * @param sendPendingUpdates sends pending updates to a few members immediately
     */
    public ArchiveStore(
            Swim swim,
            ZoneId zone,
            PeerRpc peers,
            Scheduler controlThread,
            ArchivedJobs archived,
            Runnable sendPendingUpdates) {
        this.swim = swim;
        this.zone = zone;
        this.peers = peers;
        this.controlThread = controlThread;
        this.archived = archived;
        this.sendPendingUpdates = sendPendingUpdates;
    }

    /** Returns an archive index with the default limits. */
    public static ArchivedJobs newArchivedJobs(MonotonicClock clock) {
        return new ArchivedJobs(clock, RETENTION_NANOS, MAX_ANSWER_BYTES);
    }

    /** Registers the handler of archive transfers. */
    public void start() {
        peers.handle(Frame.BodyCase.ARCHIVE_TRANSFER, this::onTransfer);
    }

    /** Removes expired archives. */
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

    /** JSON form of an error response that does not belong to a running job. */
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
                .timeout(TRANSFER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, controlThread)
                .map(Optional::of)
                .onErrorReturnItem(Optional.empty())
                .defaultIfEmpty(Optional.empty())
                .flatMap(successor -> announceDeparture(archives, archive.incarnation(), successor));
    }

    /**
     * Returns members of this host's zone first, in random order so that hosts leaving together choose different
     * successors.
     */
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
                .switchIfEmpty(Single.error(() -> new IllegalStateException("the successor rejected an archive part")))
                .ignoreElement();
    }

    /** Announces to the members which host answers for the archives and that this process has left. */
    private Single<Optional<HostId>> announceDeparture(
            Map<Incarnation, ByteString> archives, Incarnation own, Optional<HostId> successor) {
        for (Incarnation incarnation : archives.keySet()) {
            boolean isOwn = incarnation.equals(own);
            if (isOwn || successor.isPresent()) {
                retire(incarnation, successor.orElse(null));
            }
        }
        swim.table().leave();
        sendPendingUpdates.run();
        return Single.timer(DEPARTURE_DISSEMINATION_MILLIS, TimeUnit.MILLISECONDS, controlThread)
                .map(tick -> successor);
    }

    private void retire(Incarnation incarnation, HostId successor) {
        Optional<RetiredUpdate> known = swim.retired().find(incarnation);
        HostId host = known.map(RetiredUpdate::host).orElse(swim.table().self().host());
        int transfers = known.map(RetiredUpdate::transfers).orElse(0) + 1;
        long ageMillis = known.map(RetiredUpdate::ageMillis).orElse(0L);
        swim.retired().merge(new RetiredUpdate(incarnation, host, successor, transfers, ageMillis));
    }

    /** Rejects archives while this process itself is leaving. */
    private Single<Frame.Builder> onTransfer(PeerIdentity from, Frame frame) {
        boolean staying = swim.table().self().state() == MemberState.ALIVE;
        if (staying) {
            receivePart(frame.getArchiveTransfer());
        }
        return Single.just(
                Frame.newBuilder().setArchiveAck(ArchiveAck.newBuilder().setAccepted(staying)));
    }

    private void receivePart(ArchiveTransfer transfer) {
        Incarnation incarnation = new Incarnation(transfer.getIncarnation());
        ArchiveAssembly assembly = incoming.computeIfAbsent(incarnation, key -> new ArchiveAssembly());
        Optional<ByteString> assembled = assembly.add(transfer.getPart(), transfer.getParts(), transfer.getContent());
        if (assembled.isPresent()) {
            incoming.remove(incarnation);
            archived.accept(
                    PeerMessages.parse(assembled.get(), ArchiveDocument.class).toArchive());
            serialized.put(incarnation, assembled.get());
            LOG.infof(
                    "received the archive of process %s, %d bytes",
                    incarnation, assembled.get().size());
        }
    }
}
