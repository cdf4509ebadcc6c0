package org.banyanspoke.core.pool;

/** Generates fencing tokens that no other process uses. */
public interface FencingTokenSource {
    /** Returns the token of the current claim. */
    long current();

    /** Generates a token that is higher than all previous ones. */
    long next();
}
