package org.banyanspoke.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.banyanspoke.client.EntryHostClient;

/** Command-line options that select entry hosts and an access token. */
public final class ConnectionOptions {
    /** Environment variable that holds the access token if {@code --token-file} is absent. */
    public static final String TOKEN_VARIABLE = "BANYANSPOKE_TOKEN";

    private static final String DEFAULT_CALLER_ADDRESS = "127.0.0.1:8080";
    private static final String DEFAULT_ADMIN_ADDRESS = "127.0.0.1:8081";

    private final Map<String, String> environment;

    /** Creates options that read the token variable from the given environment. */
    public ConnectionOptions(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /** Adds the options for the caller API. */
    public static void addCallerArguments(ArgumentParser parser) {
        addConnectionArguments(
                parser,
                DEFAULT_CALLER_ADDRESS,
                "address of the caller API of an entry host; repeat the option for several hosts");
        parser.addArgument("--team").required(true).help("client account (team) that owns the batch");
    }

    /** Adds the options for the admin API. */
    public static void addAdminArguments(ArgumentParser parser) {
        addConnectionArguments(parser, DEFAULT_ADMIN_ADDRESS, "address of the admin API of an entry host");
    }

    private static void addConnectionArguments(ArgumentParser parser, String defaultAddress, String help) {
        parser.addArgument("--host")
                .dest("host")
                .action(net.sourceforge.argparse4j.impl.Arguments.append())
                .metavar("IP:PORT")
                .setDefault((Object) null)
                .help(help + " (default " + defaultAddress + ")");
        parser.addArgument("--token-file")
                .metavar("FILE")
                .help("file that contains the access token (default: environment variable " + TOKEN_VARIABLE + ")");
        parser.setDefault("defaultAddress", defaultAddress);
    }

    /**
     * Creates a client for the entry hosts that the arguments select.
     *
     * @throws UsageException if an address is invalid or no token is given
     */
    public EntryHostClient createClient(Namespace arguments) throws UsageException {
        List<String> addresses = arguments.getList("host");
        if (addresses == null) {
            addresses = List.of(arguments.getString("defaultAddress"));
        }
        try {
            return new EntryHostClient(addresses, readToken(arguments.getString("token_file")));
        } catch (IllegalArgumentException e) {
            throw new UsageException("--host: " + e.getMessage());
        }
    }

    private String readToken(String file) throws UsageException {
        if (file == null) {
            String token = environment.get(TOKEN_VARIABLE);
            if (token == null || token.isBlank()) {
                throw new UsageException(
                        "no access token: set the environment variable " + TOKEN_VARIABLE + " or use --token-file");
            }
            return token.strip();
        }
        try {
            return Files.readString(Path.of(file)).strip();
        } catch (IOException e) {
            throw new UsageException("--token-file: \"" + file + "\" cannot be read: " + e.getMessage());
        }
    }
}
