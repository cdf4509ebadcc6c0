package org.banyanspoke.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.banyanspoke.client.EntryHosts;

/** Adds the arguments that name entry hosts and a token, and opens the connection that they describe. */
public final class Connection {
    /** Environment variable with the token, used without {@code --token-file}. */
    public static final String TOKEN_VARIABLE = "BANYANSPOKE_TOKEN";

    private static final String DEFAULT_CALLER_ADDRESS = "127.0.0.1:8080";
    private static final String DEFAULT_ADMIN_ADDRESS = "127.0.0.1:8081";

    private final Map<String, String> environment;

    /** Creates a reader of arguments that takes the token from this environment. */
    public Connection(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /** Adds the arguments for the callers' port. */
    public static void addCallerArguments(ArgumentParser parser) {
        add(parser, DEFAULT_CALLER_ADDRESS, "callers' port of an entry host; repeat it to name more hosts");
        parser.addArgument("--team").required(true).help("team that owns the batch");
    }

    /** Adds the arguments for the operators' port. */
    public static void addAdminArguments(ArgumentParser parser) {
        add(parser, DEFAULT_ADMIN_ADDRESS, "operators' port of an entry host");
    }

    private static void add(ArgumentParser parser, String defaultAddress, String help) {
        parser.addArgument("--host")
                .dest("host")
                .action(net.sourceforge.argparse4j.impl.Arguments.append())
                .metavar("IP:PORT")
                .setDefault((Object) null)
                .help(help + " (default " + defaultAddress + ")");
        parser.addArgument("--token-file")
                .metavar("FILE")
                .help("file with the access token (default: the variable " + TOKEN_VARIABLE + ")");
        parser.setDefault("defaultAddress", defaultAddress);
    }

    /**
     * Opens the connection.
     *
     * @throws UsageException if an address is not valid or there is no token
     */
    public EntryHosts open(Namespace arguments) throws UsageException {
        List<String> addresses = arguments.getList("host");
        if (addresses == null) {
            addresses = List.of(arguments.getString("defaultAddress"));
        }
        try {
            return new EntryHosts(addresses, token(arguments.getString("token_file")));
        } catch (IllegalArgumentException e) {
            throw new UsageException("--host: " + e.getMessage());
        }
    }

    private String token(String file) throws UsageException {
        if (file == null) {
            String token = environment.get(TOKEN_VARIABLE);
            if (token == null || token.isBlank()) {
                throw new UsageException("no access token: set " + TOKEN_VARIABLE + " or use --token-file");
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
