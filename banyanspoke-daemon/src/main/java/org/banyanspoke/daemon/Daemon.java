package org.banyanspoke.daemon;

import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.daemon.settings.Settings;
import org.banyanspoke.kernel.Kernel;
import org.jboss.logging.Logger;

/** One entry host process: registers the services, starts them and waits for the planned stop. */
final class Daemon {
    private static final EventLog LOG = EventLog.of(Daemon.class);

    private final Settings settings;
    private final Kernel kernel = new Kernel();

    Daemon(Settings settings) {
        this.settings = settings;
    }

    /** Runs until the planned stop has ended. */
    ExitCode run() {
        try {
            kernel.start();
        } catch (Exception e) {
            LOG.event(Logger.Level.ERROR, "start failed").cause(e).write();
            return ExitCode.START_FAILED;
        }
        LOG.event(Logger.Level.INFO, "started")
                .with("callers", settings.callers().address())
                .write();
        kernel.stop();
        return ExitCode.OK;
    }
}
