package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.List;
import org.banyanspoke.core.config.AcceptedTicket;
import org.banyanspoke.core.config.ConfigSnapshot;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.config.ConfigTracker;
import org.banyanspoke.core.config.LogRecord;
import org.jboss.logging.Logger;

/** Holds the configuration tracker of one host and publishes the configurations that it accepts. */
public final class ConfigHolder {
    private static final Logger LOG = Logger.getLogger(ConfigHolder.class);

    private final ConfigTracker tracker;
    private final BehaviorProcessor<ConfigState> states = BehaviorProcessor.createDefault(ConfigState.EMPTY);
    private volatile String source = "none";

    /**
     * @param tracker the configuration tracker; owned by this object
     */
    public ConfigHolder(ConfigTracker tracker) {
        this.tracker = tracker;
    }

    /** Returns the tracker for reading. */
    public ConfigTracker tracker() {
        return tracker;
    }

    /** Returns the latest configuration. Thread-safe. */
    public ConfigState state() {
        return states.getValue();
    }

    /** Streams the configurations. A slow subscriber receives only the latest one. */
    public Flowable<ConfigState> states() {
        return states.onBackpressureLatest();
    }

    /** Returns where the latest configuration came from. Thread-safe. */
    public String source() {
        return source;
    }

    /** Applies log records and returns the newly accepted tickets. */
    public List<AcceptedTicket> onRecords(List<LogRecord> records) {
        List<AcceptedTicket> accepted = tracker.onRecords(records);
        publish("log");
        return accepted;
    }

    /** Applies a ticket that a peer accepted; returns whether it is new. */
    public boolean onPeerTicket(AcceptedTicket ticket) {
        boolean applied = tracker.onPeerTicket(ticket);
        publish("peer");
        return applied;
    }

    /** Applies the configuration snapshot of a peer; returns whether it is new. */
    public boolean onPeerSnapshot(ConfigSnapshot snapshot) {
        boolean applied = tracker.onPeerSnapshot(snapshot);
        publish("peer");
        return applied;
    }

    private void publish(String from) {
        ConfigState latest = tracker.state();
        if (latest.number() == states.getValue().number()) {
            return;
        }
        source = from;
        LOG.infof("configuration %d is in force, from %s", latest.number(), from);
        states.onNext(latest);
    }
}
