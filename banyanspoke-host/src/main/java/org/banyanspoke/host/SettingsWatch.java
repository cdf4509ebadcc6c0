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

    /** Parses the content of a settings file. */
    @FunctionalInterface
    interface Parser {
        PlatformSettings parse(String text) throws PlatformException;
    }

    private final Path file;
    private final Parser parser;
    private String text;
    private PlatformSettings current;
    private String lastError = "";

    /**
     * Loads the settings.
     *
     * @throws PlatformException if the file cannot be read or is invalid
     */
    SettingsWatch(Path file, Parser parser) throws PlatformException {
        this.file = file;
        this.parser = parser;
        this.text = PlatformSettings.read(file);
        this.current = parser.parse(text);
    }

    PlatformSettings current() {
        return current;
    }

    /**
     * Reloads the file; logs each distinct error once until a load succeeds. The same content is not parsed again, to
     * save processor time on idle hosts.
     */
    void reload() {
        try {
            String newText = PlatformSettings.read(file);
            if (newText.equals(text)) {
                return;
            }
            text = newText;
            PlatformSettings newer = parser.parse(newText);
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
