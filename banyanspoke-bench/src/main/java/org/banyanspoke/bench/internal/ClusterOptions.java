package org.banyanspoke.bench.internal;

import java.nio.file.Path;

/**
 * How to start the processes of a run.
 *
 * @param home directory that holds {@code bin}
 * @param directory for settings, ledger and output
 * @param policy policy of the daemons
 * @param seed of the backend servers
 * @param instantServers whether backend servers answer at once
 * @param hostJavaOptions options of the JVM of an entry host
 */
public record ClusterOptions(
        Path home, Path directory, String policy, long seed, boolean instantServers, String hostJavaOptions) {}
