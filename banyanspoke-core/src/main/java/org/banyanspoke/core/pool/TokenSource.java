package org.banyanspoke.core.pool;

/** Gives fencing tokens that no other process ever uses. */
public interface TokenSource {
    /** Returns the token of the present claim. */
    long current();

    /** Returns a token that is higher than all given before. */
    long next();
}
