package org.banyanspoke.core.identity.internal;

/**
 * Limits of a register.
 *
 * @param maxRecords records of used ids
 * @param answerKeepNanos time for which an answer is kept after the end of its job
 * @param maxAnswerBytes approximate size of all kept answers
 */
public record RegisterLimits(int maxRecords, long answerKeepNanos, long maxAnswerBytes) {}
