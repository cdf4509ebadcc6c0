package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.List;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.membership.LeavingServers;
import org.banyanspoke.core.membership.ServerUpdate;
import org.banyanspoke.daemon.control.ServerCheck;
import org.jboss.logging.Logger;

/**
 * Finds out when a leaving server has been replaced by a new process. A leaving server gets no work, so no response to a
 * task can tell; this asks its health route instead.
 */
public final class ReturnWatch {
    private static final Logger LOG = Logger.getLogger(ReturnWatch.class);

    private final ServerCheck check;
    private final LeavingServers servers;
    private final ConfigHolder config;
    private final LogDuty duty;
    private final Scheduler controlThread;

    /**
     * @param check asks a server
     * @param servers the leaving servers
     * @param config addresses of servers
     * @param duty decides which host asks which server
     * @param controlThread runs the results
     */
    public ReturnWatch(
            ServerCheck check, LeavingServers servers, ConfigHolder config, LogDuty duty, Scheduler controlThread) {
        this.check = check;
        this.servers = servers;
        this.config = config;
        this.duty = duty;
        this.controlThread = controlThread;
    }

    /** Asks each leaving server of this host's duty once. */
    public Completable checkAll() {
        List<ServerUpdate> due = servers.updates().stream()
                .filter(ServerUpdate::leaving)
                .filter(update -> duty.isCheckerOf(update.server()))
                .toList();
        return Flowable.fromIterable(due).flatMapCompletable(this::checkOne);
    }

    private Completable checkOne(ServerUpdate update) {
        BackendServerConfig server = config.state().servers().get(update.server());
        if (server == null || server.state() == ServerState.LEAVING) {
            return Completable.complete();
        }
        return check.check(server.address())
                .observeOn(controlThread)
                .doOnSuccess(statement -> take(update, statement))
                .ignoreElement()
                .doOnError(e -> LOG.debugf("check of %s: %s", update.server(), e))
                .onErrorComplete();
    }

    /** A response that was overtaken by another statement about the server may be older than that. */
    private void take(ServerUpdate asked, ServerCheck.Statement statement) {
        ServerId server = asked.server();
        if (servers.isLatest(asked)) {
            servers.onAnswer(
                    server,
                    statement.incarnation(),
                    statement.leaving(),
                    config.state().number());
        }
    }
}
