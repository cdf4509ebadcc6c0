package org.banyanspoke.host;

import java.util.List;
import java.util.function.Consumer;
import org.banyanspoke.platform.StoreClient;

/**
 * Passes the records of a topic to several listeners. An unexpected error of one does not keep the records from others.
 *
 * @param listeners the listeners, in the order in which they are called
 * @param guard catches unexpected errors of the listeners
 */
record CompositeTopicListener(List<TopicFollower.Listener> listeners, ErrorGuard guard)
        implements TopicFollower.Listener {
    @Override
    public void onAll(List<StoreClient.Entry> entries) {
        forEach(listener -> listener.onAll(entries));
    }

    @Override
    public void onChanges(List<StoreClient.Entry> entries) {
        forEach(listener -> listener.onChanges(entries));
    }

    @Override
    public void onReplaced() {
        forEach(TopicFollower.Listener::onReplaced);
    }

    @Override
    public void onUpToDate() {
        forEach(TopicFollower.Listener::onUpToDate);
    }

    private void forEach(Consumer<TopicFollower.Listener> call) {
        for (TopicFollower.Listener each : listeners) {
            guard.run("records for " + each.getClass().getSimpleName(), () -> call.accept(each));
        }
    }
}
