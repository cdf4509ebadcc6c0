package org.banyanspoke.scenarios.history;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Applies every rule to a history. Uses only what callers, operators and backend servers saw. */
public final class HistoryChecker {
    private final Map<String, Rule> rules = new LinkedHashMap<>();

    /** Creates a checker with all rules. */
    public HistoryChecker() {
        rules.put("starts at most once", JobRules::startsAtMostOnce);
        rules.put("whole or failed", JobRules::wholeOrFailed);
        rules.put("every request ends", JobRules::everyRequestEnds);
        rules.put("answers belong to their request", JobRules::answersBelongToTheirRequest);
        rules.put("not run means not run", JobRules::notRunMeansNotRun);
        rules.put("non-idempotent at most once", JobRules::nonIdempotentAtMostOnce);
        rules.put("leaving server gets nothing", OperationRules::leavingServerGetsNothing);
        rules.put("planned stop cuts nothing", OperationRules::plannedStopCutsNothing);
        rules.put("configuration never reverts", OperationRules::configurationNeverReverts);
        rules.put("configuration is in force", OperationRules::configurationIsInForce);
    }

    /** Returns the violations by name of the rule; rules without violations are absent. */
    public Map<String, List<String>> check(History history) {
        Map<String, List<String>> found = new LinkedHashMap<>();
        rules.forEach((name, rule) -> {
            List<String> violations = rule.violations(history);
            if (!violations.isEmpty()) {
                found.put(name, violations);
            }
        });
        return found;
    }

    /** Returns the names of all rules. */
    public List<String> ruleNames() {
        return List.copyOf(rules.keySet());
    }
}
