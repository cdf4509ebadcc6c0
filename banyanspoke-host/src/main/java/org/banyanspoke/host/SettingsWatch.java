package org.banyanspoke.host;

import java.nio.file.Path;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.platform.PlatformException;
import org.banyanspoke.platform.PlatformSettings;
import org.jboss.logging.Logger;

/**
 * The settings in force. After a reload the new store address takes effect at once; other fields concern sockets that
 * are already open and take effect at the next start. An invalid file changes nothing.
 */
final class SettingsWatch {
    private static final EventLog LOG = EventLog.of(SettingsWatch.class);

    private final Path file;
    private PlatformSettings current;
    private String lastError = "";

    /**
     * Loads the settings.
     *
     * @throws PlatformException if the file cannot be read or is invalid
     */
    SettingsWatch(Path file) throws PlatformException {
        this.file = file;
        this.current = PlatformSettings.load(file);
    }

    PlatformSettings current() {
        return current;
    }

    /** Reloads the file; logs each distinct error once until a load succeeds. */
    void reload() {
        try {
            PlatformSettings newer = PlatformSettings.load(file);
            lastError = "";
            if (newer.equals(current)) {
                return;
            }
            current = newer;
            LOG.event(Logger.Level.INFO, "settings changed")
                    .with("storeAddress", newer.storeAddress())
                    .write();
        } catch (PlatformException e) {
            if (!e.getMessage().equals(lastError)) {
                lastError = e.getMessage();
                LOG.event(Logger.Level.ERROR, "changed settings are not valid, the previous ones stay in force")
                        .with("reason", e.getMessage())
                        .write();
            }
        }
    }
}
