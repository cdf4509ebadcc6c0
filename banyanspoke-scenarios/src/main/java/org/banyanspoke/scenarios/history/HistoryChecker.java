package org.banyanspoke.scenarios.history;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Checks a history against every rule. Uses only observations by callers, operators and backend servers. */
public final class HistoryChecker {
    private final Map<String, Rule> rules = new LinkedHashMap<>();

    /** Creates a checker with all rules. */
    public HistoryChecker() {
        rules.put("starts at most once", JobRules::startsAtMostOnce);
        rules.put("whole or failed", JobRules::allResultsOrNone);
        rules.put("every request ends", JobRules::everyRequestEnds);
        rules.put("answers belong to their request", JobRules::answersMatchTheirRequest);
        rules.put("not run means not run", JobRules::refusedJobStartsNoTask);
        rules.put("non-idempotent at most once", JobRules::nonIdempotentAtMostOnce);
        rules.put("leaving server gets nothing", OperationRules::leavingServerStartsNoTask);
        rules.put("planned stop cuts nothing", OperationRules::gracefulShutdownAbortsNoRequest);
        rules.put("configuration never reverts", OperationRules::configurationNeverReverts);
        rules.put("configuration is in force", OperationRules::acceptedConfigurationIsInForce);
    }

    /** Returns the violations by rule name; rules without violations are absent. */
    public Map<String, List<String>> check(History history) {
        Map<String, List<String>> violationsByRule = new LinkedHashMap<>();
        rules.forEach((name, rule) -> {
            List<String> violations = rule.violations(history);
            if (!violations.isEmpty()) {
                violationsByRule.put(name, violations);
            }
        });
        return violationsByRule;
    }

    /** Returns the names of all rules. */
    public List<String> ruleNames() {
        return List.copyOf(rules.keySet());
    }
}
