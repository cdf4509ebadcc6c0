package org.banyanspoke.scenarios.steps;

import io.cucumber.java.ParameterType;
import org.banyanspoke.scenarios.cluster.Contract;

/** Parameter types of the step definitions. */
public class ParameterTypes {
    @ParameterType("idempotent|non-idempotent")
    public boolean idempotence(String word) {
        return word.equals("idempotent");
    }

    /** Maps the phrase for a team in the feature files to its contract. */
    @ParameterType("the first team|the other team|the flooding team|the limited team|the expired contract")
    public Contract contract(String words) {
        return switch (words) {
            case "the first team" -> Contract.MAIN;
            case "the other team" -> Contract.OTHER;
            case "the flooding team" -> Contract.FLOOD;
            case "the limited team" -> Contract.LIMITED;
            default -> Contract.EXPIRED;
        };
    }
}
