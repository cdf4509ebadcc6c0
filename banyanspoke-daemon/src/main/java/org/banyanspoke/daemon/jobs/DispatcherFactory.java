package org.banyanspoke.daemon.jobs;

import org.banyanspoke.core.dispatch.Dispatcher;
import org.banyanspoke.core.dispatch.DispatcherListener;
import org.banyanspoke.core.dispatch.TaskTransport;

/** Creates the dispatcher of a process. */
@FunctionalInterface
public interface DispatcherFactory {
    /** Returns a dispatcher with the empty configuration. Called once, before the dispatch thread uses it. */
    Dispatcher create(TaskTransport transport, DispatcherListener events);
}
