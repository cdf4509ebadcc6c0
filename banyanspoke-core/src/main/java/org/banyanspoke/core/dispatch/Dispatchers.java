package org.banyanspoke.core.dispatch;

import java.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.core.admission.internal.LoadAdmissionPolicy;
import org.banyanspoke.core.dispatch.internal.DefaultDispatcher;
import org.banyanspoke.core.identity.Generations;
import org.banyanspoke.core.identity.JobIdIssuer;
import org.banyanspoke.core.identity.JobRegister;
import org.banyanspoke.core.identity.ProcessIdentity;
import org.banyanspoke.core.identity.internal.DefaultJobRegister;
import org.banyanspoke.core.identity.internal.HmacJobIdIssuer;
import org.banyanspoke.core.identity.internal.RegisterLimits;
import org.banyanspoke.core.routing.ServerPool;
import org.banyanspoke.core.routing.internal.RandomServerPool;
import org.banyanspoke.core.schedule.TaskQueue;
import org.banyanspoke.core.schedule.internal.FirstComeFirstServedQueue;
import org.banyanspoke.core.time.MonotonicClock;

/** Creates dispatchers and the parts of the {@code baseline} policy. */
public final class Dispatchers {
    private Dispatchers() {}

    /**
     * Creates a dispatcher with an empty configuration.
     *
     * @param owner the process that issues the job ids
     * @param jobIdKey random key for job ids, new for each process start, at least 16 bytes
     * @param clock time of deadlines, quotas and generations
     * @param wallClock time of contract expiry instants only
     * @param queue order of waiting tasks
     * @param pool choice of backend servers
     * @param transport sends tasks
     * @param events receives what happens
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
            DispatchEvents events,
            DispatcherSettings settings) {
        Generations generations = new Generations(clock);
        JobIdIssuer issuer = new HmacJobIdIssuer(owner, generations, jobIdKey);
        RegisterLimits limits =
                new RegisterLimits(settings.maxIdRecords(), settings.answerKeepNanos(), settings.maxAnswerBytes());
        JobRegister register = new DefaultJobRegister(issuer, generations, clock, limits);
        LoadAdmissionPolicy admission = new LoadAdmissionPolicy(settings.maxClassWaitNanos());
        return new DefaultDispatcher(
                clock, wallClock, issuer, register, admission, queue, pool, transport, events, settings);
    }

    /** Returns the queue of the {@code baseline} policy: first come, first served. */
    public static TaskQueue baselineQueue() {
        return new FirstComeFirstServedQueue();
    }

    /** Returns the server pool of the {@code baseline} policy: a random server with room. */
    public static ServerPool baselinePool(UniformRandomProvider random) {
        return new RandomServerPool(random);
    }
}
