package org.banyanspoke.core.pool.internal;

import org.banyanspoke.core.pool.ServerCommands.EndKind;
import org.banyanspoke.core.pool.ServerCommands.Status;

/** Receives events of an {@link OwnedServer}. */
interface OwnedServerListener {
    /** Called when a start command has been refused and its run has ended. */
    void startRefused(OwnedServer server, Run run, Status status);

    /** Called when a run has ended and its capacity is free. */
    void runEnded(OwnedServer server, Run run, EndKind kind);

    /** Called when the server accepts tasks again or may have freed capacity. */
    void capacityFreed(OwnedServer server);

    /** Called when the server holds a higher fencing token than the one of this process. */
    void fenced(OwnedServer server);

    /** Called when the server has restarted under its id and must be claimed again with a higher token. */
    void restarted(OwnedServer server);

    /** Called when the state of the server has changed. */
    void stateChanged(OwnedServer server, String state, String reason);
}
