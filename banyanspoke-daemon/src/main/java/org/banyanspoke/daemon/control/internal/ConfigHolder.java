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

/** The tracker of one host and the stream of the configurations that it accepts. */
public final class ConfigHolder {
    private static final Logger LOG = Logger.getLogger(ConfigHolder.class);

    private final ConfigTracker tracker;
    private final BehaviorProcessor<ConfigState> states = BehaviorProcessor.createDefault(ConfigState.EMPTY);
    private volatile String source = "none";

    /**
     * @param tracker the state; used by nothing else
     */
    public ConfigHolder(ConfigTracker tracker) {
        this.tracker = tracker;
    }

    /** Returns the tracker for reading. */
    public ConfigTracker tracker() {
        return tracker;
    }

    /** Returns the latest configuration. May be called from any thread. */
    public ConfigState state() {
        return states.getValue();
    }

    /** Streams the configurations. A slow receiver gets the latest one only. */
    public Flowable<ConfigState> states() {
        return states.onBackpressureLatest();
    }

    /** Returns where the latest configuration came from. May be called from any thread. */
    public String source() {
        return source;
    }

    /** Takes records of the log and returns the tickets that they brought. */
    public List<AcceptedTicket> onRecords(List<LogRecord> records) {
        List<AcceptedTicket> accepted = tracker.onRecords(records);
        publish("log");
        return accepted;
    }

    /** Takes a ticket that a peer accepted; returns whether it is new. */
    public boolean onPeerTicket(AcceptedTicket ticket) {
        boolean applied = tracker.onPeerTicket(ticket);
        publish("peer");
        return applied;
    }

    /** Takes the configuration of a peer; returns whether it is new. */
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
