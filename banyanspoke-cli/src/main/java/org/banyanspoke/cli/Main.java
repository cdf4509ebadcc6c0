package org.banyanspoke.cli;

/** Entry point of the command-line tool. */
public final class Main {
    private Main() {}

    /** Runs one subcommand and exits with its exit code. */
    public static void main(String[] arguments) {
        ExitCode code = new CommandLine(System.getenv(), System.in, System.out, System.err).run(arguments);
        System.exit(code.code());
    }
}
