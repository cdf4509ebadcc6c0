package org.banyanspoke.cli;

import java.io.InputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorBody;
import org.banyanspoke.cli.commands.AdminCommands;
import org.banyanspoke.cli.commands.Command;
import org.banyanspoke.cli.commands.JobCommands;
import org.banyanspoke.cli.commands.LogCommands;
import org.banyanspoke.cli.commands.SettingsCommands;
import org.banyanspoke.client.ConnectionFailedException;

/** Parses the arguments and runs one subcommand. */
public final class CommandLine {
    private final ConnectionOptions connectionOptions;
    private final InputFile input;
    private final PrintStream out;
    private final PrintStream err;

    /** Creates a command line with the given environment and standard streams. */
    public CommandLine(Map<String, String> environment, InputStream in, PrintStream out, PrintStream err) {
        this.connectionOptions = new ConnectionOptions(environment);
        this.input = new InputFile(in);
        this.out = out;
        this.err = err;
    }

    /** Runs the subcommand that the arguments name and returns the exit code. Does not throw for invalid input. */
    public ExitCode run(String... arguments) {
        ArgumentParser parser = createParser();
        Namespace namespace;
        try {
            namespace = parser.parseArgs(arguments);
        } catch (HelpScreenException e) {
            return ExitCode.SUCCESS;
        } catch (ArgumentParserException e) {
            e.getParser().handleError(e, new PrintWriter(err, true, StandardCharsets.UTF_8));
            return ExitCode.USAGE;
        }
        Command command = namespace.get("command");
        return run(command, namespace, new Output(out, err, namespace.getBoolean("json")));
    }

    private static ExitCode run(Command command, Namespace arguments, Output output) {
        try {
            return command.run(arguments, output);
        } catch (UsageException e) {
            output.printError(e.getMessage(), e.getMessage());
            return ExitCode.USAGE;
        } catch (DispatchException e) {
            output.printError(
                    ErrorBody.of(e),
                    e.kind() + " (" + e.kind().execution().name().toLowerCase(java.util.Locale.ROOT) + "): "
                            + e.getMessage());
            return ExitCode.of(e.kind());
        } catch (ConnectionFailedException e) {
            output.printError(e.getMessage(), e.getMessage());
            return ExitCode.UNREACHABLE;
        }
    }

    private ArgumentParser createParser() {
        ArgumentParser parser = ArgumentParsers.newFor("banyanspoke")
                .build()
                .defaultHelp(true)
                .description(
                        "Command-line client of banyanspoke. Exit codes: 0 success, 1 the job failed or its outcome"
                                + " is unknown, 2 the command line or an input file is invalid, 3 refused and not run, 4 no entry host responded.");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print the result as one JSON value");
        Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
        new JobCommands(connectionOptions, input).register(commands);
        new AdminCommands(connectionOptions, input).register(commands);
        new SettingsCommands(input).register(commands);
        new LogCommands(input).register(commands);
        return parser;
    }
}
