package org.banyanspoke.core.dispatch;

import java.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.core.admission.internal.LoadAdmissionPolicy;
import org.banyanspoke.core.dispatch.internal.DefaultDispatcher;
import org.banyanspoke.core.identity.Generations;
import org.banyanspoke.core.identity.JobIdIssuer;
import org.banyanspoke.core.identity.JobRegistry;
import org.banyanspoke.core.identity.ProcessIdentity;
import org.banyanspoke.core.identity.internal.DefaultJobRegistry;
import org.banyanspoke.core.identity.internal.HmacJobIdIssuer;
import org.banyanspoke.core.identity.internal.RegistryLimits;
import org.banyanspoke.core.routing.ServerPool;
import org.banyanspoke.core.routing.internal.RandomServerPool;
import org.banyanspoke.core.schedule.TaskQueue;
import org.banyanspoke.core.schedule.internal.FirstComeFirstServedQueue;
import org.banyanspoke.core.time.MonotonicClock;

/** Creates dispatchers, and the queue and server pool of the {@code baseline} policy. */
public final class Dispatchers {
    private Dispatchers() {}

    /**
     * Creates a dispatcher with an empty configuration.
     *
     * @param owner the process that issues the job ids
     * @param jobIdKey random key that authenticates job ids, at least 16 bytes, generated anew at each process start
     * @param clock time source of deadlines, quotas and generations
     * @param wallClock time source of contract expiry
     * @param queue queue of waiting tasks
     * @param pool selects backend servers
     * @param transport sends tasks
     * @param listener receives the events of the dispatcher
     * @param settings limits
     */
    public static Dispatcher create(
            ProcessIdentity owner,
            byte[] jobIdKey,
            MonotonicClock clock,
            Clock wallClock,
            TaskQueue queue,
            ServerPool pool,
            TaskTransport transport,
            DispatcherListener listener,
            DispatcherSettings settings) {
        Generations generations = new Generations(clock);
        JobIdIssuer issuer = new HmacJobIdIssuer(owner, generations, jobIdKey);
        RegistryLimits limits =
                new RegistryLimits(settings.maxIdRecords(), settings.answerRetentionNanos(), settings.maxAnswerBytes());
        JobRegistry register = new DefaultJobRegistry(issuer, generations, clock, limits);
        LoadAdmissionPolicy admission = new LoadAdmissionPolicy(settings.maxClassWaitNanos());
        return new DefaultDispatcher(
                clock, wallClock, issuer, register, admission, queue, pool, transport, listener, settings);
    }

    /** Returns the queue of the {@code baseline} policy, which is first come, first served. */
    public static TaskQueue baselineQueue() {
        return new FirstComeFirstServedQueue();
    }

    /** Returns the server pool of the {@code baseline} policy, which selects a random server with free capacity. */
    public static ServerPool baselinePool(UniformRandomProvider random) {
        return new RandomServerPool(random);
    }
}
