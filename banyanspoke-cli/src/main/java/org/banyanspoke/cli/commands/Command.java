package org.banyanspoke.cli.commands;

import net.sourceforge.argparse4j.inf.Namespace;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.cli.ExitCode;
import org.banyanspoke.cli.Output;
import org.banyanspoke.cli.UsageException;
import org.banyanspoke.client.ConnectionFailedException;

/** Implementation of a subcommand. */
@FunctionalInterface
public interface Command {
    /**
     * Runs the subcommand.
     *
     * @throws UsageException if an argument or input file is invalid
     * @throws DispatchException if an entry host responds with an error
     * @throws ConnectionFailedException if no entry host responds
     */
    ExitCode run(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException;
}
