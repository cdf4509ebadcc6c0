package org.banyanspoke.daemon.jobs;

import org.banyanspoke.core.dispatch.Dispatcher;
import org.banyanspoke.core.dispatch.DispatcherListener;
import org.banyanspoke.core.dispatch.TaskTransport;

/** Creates the dispatcher of this process. */
@FunctionalInterface
public interface DispatcherFactory {
    /**
     * Creates a dispatcher with an empty configuration. Called once, before the dispatch thread uses the dispatcher.
     */
    Dispatcher create(TaskTransport transport, DispatcherListener listener);
}
