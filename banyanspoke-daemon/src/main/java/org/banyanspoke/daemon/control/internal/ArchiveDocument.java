package org.banyanspoke.daemon.control.internal;

import com.google.common.hash.HashCode;
import java.util.List;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.core.identity.JobArchive;

/** JSON form of a job archive; digests are encoded in hexadecimal. */
record ArchiveDocument(Incarnation incarnation, int oldestGeneration, int newestGeneration, List<Entry> entries) {
    record Entry(JobId jobId, TeamId team, String bodySha256, JobAnswer answer, boolean answerKept) {}

    static ArchiveDocument of(JobArchive archive) {
        return new ArchiveDocument(
                archive.incarnation(),
                archive.oldestGeneration(),
                archive.newestGeneration(),
                archive.entries().stream().map(ArchiveDocument::entry).toList());
    }

    JobArchive toArchive() {
        return new JobArchive(
                incarnation,
                oldestGeneration,
                newestGeneration,
                entries.stream().map(ArchiveDocument::entry).toList());
    }

    private static Entry entry(JobArchive.Entry entry) {
        return new Entry(
                entry.jobId(), entry.team(), entry.bodyDigest().toString(), entry.answer(), entry.answerKept());
    }

    private static JobArchive.Entry entry(Entry entry) {
        return new JobArchive.Entry(
                entry.jobId(),
                entry.team(),
                HashCode.fromString(entry.bodySha256()),
                entry.answer(),
                entry.answerKept());
    }
}
