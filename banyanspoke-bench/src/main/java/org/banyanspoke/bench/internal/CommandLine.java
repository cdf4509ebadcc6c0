package org.banyanspoke.bench.internal;

import java.io.IOException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Exit codes of the command-line programs of the bench: 0 success, 1 a run failed, 2 wrong command line. */
public final class CommandLine {
    private CommandLine() {}

    /** What a program does with its arguments. */
    @FunctionalInterface
    public interface Program {
        /** Returns whether all runs succeeded. */
        boolean run(Namespace arguments) throws IOException, InterruptedException;
    }

    /** Parses the arguments, runs the program and ends the process. Stand-ins and clients may have left threads behind. */
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
