package org.banyanspoke.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Jobs of three classes and what became of them. */
final class SimulatedJobs {
    static final int CPU_MILLICORES = 7_000;
    static final QueueTerms URGENT = new QueueTerms("urgent", "service", 0, 3, 1.6, 60);
    static final QueueTerms NORMAL = new QueueTerms("normal", "service", 1, 3, 1.6, 60);
    static final QueueTerms LONG = new QueueTerms("long", "service", 2, 3, 1.6, 60);

    /** What became of a job. */
    record Answer(PooledJob job, JobOutcome outcome, long afterMillis) {}

    final Map<CallerJobId, Answer> answers = new HashMap<>();
    private final SimulatedServers world;
    private final ServerPool pool;
    private final List<CallerJobId> ids = new ArrayList<>();
    private final Map<CallerJobId, PooledJob> sent = new HashMap<>();

    SimulatedJobs(SimulatedServers world, ServerPool pool) {
        this.world = world;
        this.pool = pool;
    }

    CallerJobId submit(QueueTerms terms, int tasks, long estimateMillis) {
        CallerJobId id = new CallerJobId(String.format("%016x", ids.size() + 1));
        submit(id, terms, tasks, estimateMillis);
        return id;
    }

    void submit(CallerJobId id, QueueTerms terms, int tasks, long estimateMillis) {
        ids.add(id);
        PooledJob job = new PooledJob(id, terms, "work", tasks, shape(estimateMillis), 0, 1_500);
        sent.put(id, job);
        long sentMillis = world.millis();
        pool.submit(job, keep(job, sentMillis));
    }

    private Consumer<JobOutcome> keep(PooledJob job, long sentMillis) {
        return outcome -> {
            if (answers.put(job.id(), new Answer(job, outcome, world.millis() - sentMillis)) != null) {
                throw new AssertionError(job.id() + " was answered twice");
            }
        };
    }

    /** Returns the estimate of a job's tasks. */
    long estimate(CallerJobId id) {
        return sent.get(id).shape().estimateMillis();
    }

    /** Returns how many jobs of a class have been sent. */
    long sent(QueueTerms terms) {
        return sent.values().stream().filter(job -> job.terms().equals(terms)).count();
    }

    static TaskShape shape(long estimateMillis) {
        return new TaskShape(CPU_MILLICORES, 64, 0, estimateMillis, "", "", 0);
    }

    JobOutcome.Kind kind(CallerJobId id) {
        return answers.containsKey(id) ? answers.get(id).outcome().kind() : null;
    }

    long count(QueueTerms terms, JobOutcome.Kind kind) {
        return answers.values().stream()
                .filter(answer -> answer.job().terms().equals(terms))
                .filter(answer -> answer.outcome().kind() == kind)
                .count();
    }

    /** Returns how many jobs of a class ended well within a time. */
    long completedWithin(QueueTerms terms, long millis) {
        return answers.values().stream()
                .filter(answer -> answer.job().terms().equals(terms))
                .filter(answer -> answer.outcome().kind() == JobOutcome.Kind.COMPLETED)
                .filter(answer -> answer.afterMillis() <= millis)
                .count();
    }
}
