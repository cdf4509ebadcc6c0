package org.banyanspoke.bench.internal;

import java.io.IOException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs the command-line programs of the bench. Exit codes: 0 success, 1 failed run, 2 invalid arguments. */
public final class CommandLine {
    private CommandLine() {}

    /** Body of a command-line program. */
    @FunctionalInterface
    public interface Program {
        /** Runs the program and returns whether all runs succeeded. */
        boolean run(Namespace arguments) throws IOException, InterruptedException;
    }

    /** Parses the arguments, runs the program and exits the JVM, as non-daemon threads may still be running. */
    public static void execute(ArgumentParser parser, String[] args, Program program) throws InterruptedException {
        try {
            System.exit(program.run(parser.parseArgs(args)) ? 0 : 1);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("run failed: " + e);
            System.exit(1);
        }
    }
}
