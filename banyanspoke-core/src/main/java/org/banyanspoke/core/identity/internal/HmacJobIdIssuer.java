package org.banyanspoke.core.identity.internal;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.identity.Generations;
import org.banyanspoke.core.identity.JobIdIssuer;
import org.banyanspoke.core.identity.ProcessIdentity;

/** Authenticates job ids with HMAC-SHA-256 under a key of the process, truncated to 64 bits. */
public final class HmacJobIdIssuer implements JobIdIssuer {
    private final ProcessIdentity owner;
    private final Generations generations;
    private final HashFunction hmac;
    private long lastSequence;

    /**
     * @param key at least 16 random bytes, generated anew at each process start
     * @throws IllegalArgumentException if the key is too short
     */
    public HmacJobIdIssuer(ProcessIdentity owner, Generations generations, byte[] key) {
        if (key.length < 16) {
            throw new IllegalArgumentException("the job id key has " + key.length + " bytes, at least 16 are required");
        }
        this.owner = owner;
        this.generations = generations;
        this.hmac = Hashing.hmacSha256(key);
    }

    @Override
    public List<JobId> issue(TeamId team, int count) {
        int generation = generations.current();
        List<JobId> ids = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            ids.add(issueOne(team, generation));
        }
        return ids;
    }

    private JobId issueOne(TeamId team, int generation) {
        lastSequence++;
        long mac = mac(generation, lastSequence, team);
        return new JobId(owner.host(), owner.peerAddress(), owner.incarnation(), generation, lastSequence, mac);
    }

    @Override
    public boolean issued(JobId jobId, TeamId team) {
        return jobId.incarnation().equals(owner.incarnation())
                && jobId.host().equals(owner.host())
                && jobId.peerAddress().equals(owner.peerAddress())
                && jobId.mac() == mac(jobId.generation(), jobId.sequence(), team);
    }

    @Override
    public ProcessIdentity owner() {
        return owner;
    }

    /** The key is used by one process only, so the MAC need not cover the fields that identify the process. */
    private long mac(int generation, long sequence, TeamId team) {
        return hmac.newHasher()
                .putInt(generation)
                .putLong(sequence)
                .putString(team.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
