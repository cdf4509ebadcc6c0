package org.banyanspoke.scenarios.history;

import java.util.List;

/** Decides one property of a history. */
@FunctionalInterface
public interface Rule {
    /** Returns one sentence for each violation; empty if the history is allowed. */
    List<String> violations(History history);
}
