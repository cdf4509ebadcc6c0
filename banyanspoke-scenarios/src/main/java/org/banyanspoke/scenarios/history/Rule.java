package org.banyanspoke.scenarios.history;

import java.util.List;

/** Checks one property of a history. */
@FunctionalInterface
public interface Rule {
    /** Returns a description of each violation; empty if the history satisfies the rule. */
    List<String> violations(History history);
}
