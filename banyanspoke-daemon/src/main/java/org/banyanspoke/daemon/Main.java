package org.banyanspoke.daemon;

import java.io.PrintStream;
import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.banyanspoke.daemon.logging.Logging;
import org.banyanspoke.settings.Settings;
import org.banyanspoke.settings.SettingsException;
import org.banyanspoke.settings.SettingsReader;

/** Entry point of the daemon. {@link ExitCode} lists the exit codes. */
public final class Main {
    private final PrintStream standardError;

    Main(PrintStream standardError) {
        this.standardError = standardError;
    }

    /** Runs the daemon until SIGTERM or until an operator requests a graceful shutdown. */
    public static void main(String[] args) {
        Logging.selectManager();
        ExitCode code = new Main(System.err).run(args);
        // System.exit would block after SIGTERM, because the shutdown hook of the daemon waits for this thread.
        Runtime.getRuntime().halt(code.code());
    }

    /** Runs with the given arguments and returns the exit code. */
    ExitCode run(String... args) {
        ArgumentParser parser = parser();
        Namespace arguments;
        try {
            arguments = parser.parseArgs(args);
        } catch (HelpScreenException e) {
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            standardError.println(e.getMessage());
            standardError.print(parser.formatUsage());
            return ExitCode.USAGE;
        }
        return run(Path.of(arguments.getString("settings")), arguments.getBoolean("check"));
    }

    private ExitCode run(Path settingsFile, boolean checkOnly) {
        Settings settings;
        try {
            settings = new SettingsReader().read(settingsFile);
        } catch (SettingsException e) {
            standardError.println(settingsFile + ": " + e.getMessage());
            return ExitCode.SETTINGS_INVALID;
        }
        if (checkOnly) {
            return ExitCode.OK;
        }
        Logging.configure(settings);
        return new Daemon(settings).run();
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("banyanspoked")
                .build()
                .defaultHelp(true)
                .description("Entry host of banyanspoke.")
                .epilog("Exit codes: 0 graceful shutdown or valid settings, 1 start failed, 2 invalid command line, "
                        + "3 invalid settings, 4 graceful shutdown failed.");
        parser.addArgument("--settings")
                .metavar("FILE")
                .required(true)
                .help("settings file, JSON with comments; docs/api.md describes it");
        parser.addArgument("--check")
                .action(Arguments.storeTrue())
                .help("validate the settings, report every fault and exit");
        return parser;
    }
}
