package org.banyanspoke.bench.internal;

import java.nio.file.Path;

/**
 * Start-up options of the processes of a run.
 *
 * @param home directory that holds {@code bin}
 * @param directory directory for settings, ledger and output
 * @param policy policy of the daemons
 * @param seed random seed of the backend servers
 * @param instantServers whether backend servers respond immediately
 * @param hostJavaOptions JVM options of an entry host
 */
public record ClusterOptions(
        Path home, Path directory, String policy, long seed, boolean instantServers, String hostJavaOptions) {}
