package org.banyanspoke.host;

import java.nio.file.Path;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.platform.PlatformException;
import org.banyanspoke.platform.PlatformSettings;
import org.jboss.logging.Logger;

/**
 * The settings in force. Of a changed file the address of the store takes effect at once; the other fields belong to sockets
 * that are open and take effect at the next start. A file that is not valid changes nothing.
 */
final class SettingsWatch {
    private static final EventLog LOG = EventLog.of(SettingsWatch.class);

    private final Path file;
    private PlatformSettings current;
    private String lastFault = "";

    /**
     * Reads the file.
     *
     * @throws PlatformException if it cannot be read or is not valid
     */
    SettingsWatch(Path file) throws PlatformException {
        this.file = file;
        this.current = PlatformSettings.load(file);
    }

    PlatformSettings current() {
        return current;
    }

    /** Reads the file again. */
    void reload() {
        try {
            PlatformSettings newer = PlatformSettings.load(file);
            lastFault = "";
            if (newer.equals(current)) {
                return;
            }
            current = newer;
            LOG.event(Logger.Level.INFO, "settings changed")
                    .with("storeAddress", newer.storeAddress())
                    .write();
        } catch (PlatformException e) {
            if (!e.getMessage().equals(lastFault)) {
                lastFault = e.getMessage();
                LOG.event(Logger.Level.ERROR, "changed settings are not valid, the older ones stay in force")
                        .with("reason", e.getMessage())
                        .write();
            }
        }
    }
}
