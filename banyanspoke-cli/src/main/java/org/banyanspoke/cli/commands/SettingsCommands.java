package org.banyanspoke.cli.commands;

import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.banyanspoke.cli.ExitCode;
import org.banyanspoke.cli.InputFile;
import org.banyanspoke.cli.Output;
import org.banyanspoke.cli.UsageException;
import org.banyanspoke.platform.PlatformException;
import org.banyanspoke.platform.PlatformSettings;
import org.banyanspoke.settings.SettingsException;
import org.banyanspoke.settings.SettingsReader;

/** Subcommands {@code settings check} and {@code settings check-platform}. They do not connect to an entry host. */
public final class SettingsCommands {
    private final InputFile input;

    /** Creates the subcommands for the given input. */
    public SettingsCommands(InputFile input) {
        this.input = input;
    }

    /** Adds the subcommands to a parser. */
    public void register(Subparsers parsers) {
        Subparsers settings = parsers.addParser("settings")
                .help("validate settings files")
                .addSubparsers()
                .title("subcommands")
                .metavar("SUBCOMMAND");
        String help =
                "validate a settings file by the rules of the daemon and report all errors; exit code 2 if there are any";
        Command check = this::check;
        Subparser parser =
                settings.addParser("check").help(help).description(help).setDefault("command", check);
        parser.addArgument("file").metavar("FILE").help("settings as JSON with comments, or - for standard input");
        String platformHelp =
                "validate the platform settings file of an entry host by the rules of the host and report all errors;"
                        + " exit code 2 if there are any";
        Command checkPlatform = this::checkPlatform;
        settings.addParser("check-platform")
                .help(platformHelp)
                .description(platformHelp)
                .setDefault("command", checkPlatform)
                .addArgument("file")
                .metavar("FILE")
                .help("settings as TOML, or - for standard input");
    }

    private ExitCode check(Namespace arguments, Output output) throws UsageException {
        String file = arguments.getString("file");
        try {
            var unused = new SettingsReader().parse(input.readText(file));
        } catch (SettingsException e) {
            output.printError(e.faults(), "\"" + file + "\": " + e.getMessage());
            return ExitCode.USAGE;
        }
        output.printResult(Map.of("valid", true), "\"" + file + "\" is valid");
        return ExitCode.SUCCESS;
    }

    private ExitCode checkPlatform(Namespace arguments, Output output) throws UsageException {
        String file = arguments.getString("file");
        try {
            var unused = PlatformSettings.parse(input.readText(file));
        } catch (PlatformException e) {
            output.printError(e.getMessage(), "\"" + file + "\": " + e.getMessage());
            return ExitCode.USAGE;
        }
        output.printResult(Map.of("valid", true), "\"" + file + "\" is valid");
        return ExitCode.SUCCESS;
    }
}
