package org.banyanspoke.host;

import java.util.List;
import java.util.Optional;
import org.banyanspoke.core.pool.SiteConfig;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.platform.PlatformException;
import org.banyanspoke.platform.SiteTopics;
import org.banyanspoke.platform.StoreClient;
import org.jboss.logging.Logger;

/** Holds the newest configuration received; ignores older versions. */
final class ConfigWatch implements TopicFollower.Listener {
    private static final EventLog LOG = EventLog.of(ConfigWatch.class);

    private SiteConfig config;

    Optional<SiteConfig> config() {
        return Optional.ofNullable(config);
    }

    @Override
    public void onAll(List<StoreClient.Entry> entries) {
        onChanges(entries);
    }

    @Override
    public void onChanges(List<StoreClient.Entry> entries) {
        for (StoreClient.Entry entry : entries) {
            try {
                SiteTopics.config(entry).ifPresent(this::apply);
            } catch (PlatformException e) {
                LOG.event(Logger.Level.ERROR, "invalid configuration ignored, the previous one stays in force")
                        .with("reason", e.getMessage())
                        .write();
            }
        }
    }

    private void apply(SiteConfig newer) {
        if (config != null && newer.version() <= config.version()) {
            return;
        }
        config = newer;
        LOG.event(Logger.Level.INFO, "configuration in force")
                .with("version", newer.version())
                .with("queues", newer.routes().size())
                .write();
    }
}
