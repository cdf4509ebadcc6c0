package org.banyanspoke.core.identity.internal;

/**
 * Limits of a job registry.
 *
 * @param maxRecords maximum number of records of used job ids
 * @param answerRetentionNanos retention time of an answer after the end of its job
 * @param maxAnswerBytes limit of the approximate size of all retained answers
 */
public record RegistryLimits(int maxRecords, long answerRetentionNanos, long maxAnswerBytes) {}
