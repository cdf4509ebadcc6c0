package org.banyanspoke.scenarios.steps;

import io.cucumber.java.ParameterType;

/** Words of the scenario language. */
public class ParameterTypes {
    @ParameterType("idempotent|non-idempotent")
    public boolean idempotence(String word) {
        return word.equals("idempotent");
    }
}
