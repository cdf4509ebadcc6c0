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
 * Detects when a leaving server has been replaced by a new process. A leaving server receives no tasks, so no task
 * response can show the replacement; this class queries the server's health route instead.
 */
public final class ServerReplacementDetector {
    private static final Logger LOG = Logger.getLogger(ServerReplacementDetector.class);

    private final ServerCheck check;
    private final LeavingServers servers;
    private final ConfigHolder config;
    private final RoleAssignment roles;
    private final Scheduler controlThread;

    /**
     * @param check queries a server
     * @param servers the leaving servers
     * @param config addresses of servers
     * @param roles decides which host checks which server
     * @param controlThread processes the results
     */
    public ServerReplacementDetector(
            ServerCheck check,
            LeavingServers servers,
            ConfigHolder config,
            RoleAssignment roles,
            Scheduler controlThread) {
        this.check = check;
        this.servers = servers;
        this.config = config;
        this.roles = roles;
        this.controlThread = controlThread;
    }

    /** Queries once each leaving server that this host is assigned to check. */
    public Completable checkAll() {
        List<ServerUpdate> due = servers.updates().stream()
                .filter(ServerUpdate::leaving)
                .filter(update -> roles.isCheckerOf(update.server()))
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
                .doOnSuccess(status -> onStatus(update, status))
                .ignoreElement()
                .doOnError(e -> LOG.debugf("check of server %s failed: %s", update.server(), e))
                .onErrorComplete();
    }

    /** Applies a response unless the server was updated meanwhile: the response may be older than that update. */
    private void onStatus(ServerUpdate checked, ServerCheck.ServerStatus status) {
        ServerId server = checked.server();
        if (servers.isLatest(checked)) {
            servers.onAnswer(
                    server,
                    status.incarnation(),
                    status.leaving(),
                    config.state().number());
        }
    }
}
