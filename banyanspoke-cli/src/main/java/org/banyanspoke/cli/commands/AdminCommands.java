package org.banyanspoke.cli.commands;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.UUID;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.cli.ConnectionOptions;
import org.banyanspoke.cli.ExitCode;
import org.banyanspoke.cli.InputFile;
import org.banyanspoke.cli.Output;
import org.banyanspoke.cli.UsageException;
import org.banyanspoke.client.AdminClient;
import org.banyanspoke.client.ConnectionFailedException;
import org.banyanspoke.client.EntryHostClient;

/** Subcommands for operators: {@code ticket}, {@code show} and {@code drain}. */
public final class AdminCommands {
    private static final List<String> RESOURCES =
            List.of("status", "config", "teams", "batches", "servers", "hosts", "members", "metrics");

    private final ConnectionOptions connectionOptions;
    private final InputFile input;

    /** Creates the subcommands for the given connection options and input. */
    public AdminCommands(ConnectionOptions connectionOptions, InputFile input) {
        this.connectionOptions = connectionOptions;
        this.input = input;
    }

    /** Adds the subcommands to a parser. */
    public void register(Subparsers parsers) {
        Subparsers ticketGroup = addGroup(parsers, "ticket", "send, list and show change tickets");
        addCommand(ticketGroup, "send", "send a change ticket", this::sendTicket)
                .addArgument("file")
                .metavar("FILE")
                .help("ticket as JSON, or - for standard input");
        addCommand(ticketGroup, "list", "list the latest accepted tickets", this::listTickets)
                .addArgument("--limit")
                .type(Integer.class)
                .setDefault(20)
                .help("number of tickets");
        addCommand(ticketGroup, "show", "show an accepted ticket", this::showTicket)
                .addArgument("number")
                .type(Long.class);
        addCommand(parsers, "show", "show the state of an entry host", this::show)
                .addArgument("resource")
                .choices(RESOURCES)
                .help("one of " + String.join(", ", RESOURCES));
        Subparsers drainGroup = addGroup(parsers, "drain", "take an entry host or a backend server out of service");
        addCommand(drainGroup, "host", "shut down the entry host gracefully", this::drainHost);
        Subparser server = addCommand(
                drainGroup,
                "server",
                "send a change ticket that sets a backend server to the leaving state",
                this::drainServer);
        server.addArgument("id").metavar("SERVER");
        server.addArgument("--author").required(true).help("operator recorded as the author of the ticket");
    }

    private static Subparsers addGroup(Subparsers parsers, String name, String help) {
        return parsers.addParser(name)
                .help(help)
                .addSubparsers()
                .title("subcommands")
                .metavar("SUBCOMMAND");
    }

    private static Subparser addCommand(Subparsers parsers, String name, String help, Command command) {
        Subparser parser = parsers.addParser(name).help(help).description(help).setDefault("command", command);
        ConnectionOptions.addAdminArguments(parser);
        return parser;
    }

    private ExitCode sendTicket(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        Ticket ticket = input.readJson(arguments.getString("file"), Ticket.class);
        try (EntryHostClient client = connectionOptions.createClient(arguments)) {
            output.printDocument(new AdminClient(client).send(ticket));
            return ExitCode.SUCCESS;
        }
    }

    private ExitCode listTickets(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        return get("tickets?limit=" + arguments.getInt("limit"), arguments, output);
    }

    private ExitCode showTicket(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        return get("tickets/" + arguments.getLong("number"), arguments, output);
    }

    private ExitCode show(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        String resource = arguments.getString("resource");
        return resource.equals("status") ? showStatus(arguments, output) : get(resource, arguments, output);
    }

    /** Prints the status and a summary of all members, because suspect, dead or drained hosts serve no callers. */
    private ExitCode showStatus(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHostClient client = connectionOptions.createClient(arguments)) {
            AdminClient adminClient = new AdminClient(client);
            JsonNode status = adminClient.get("status");
            output.printDocument(status, "members: " + MemberSummary.of(adminClient.get("members")));
            return ExitCode.SUCCESS;
        }
    }

    private ExitCode get(String resource, Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHostClient client = connectionOptions.createClient(arguments)) {
            output.printDocument(new AdminClient(client).get(resource));
            return ExitCode.SUCCESS;
        }
    }

    private ExitCode drainHost(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHostClient client = connectionOptions.createClient(arguments)) {
            new AdminClient(client).drain();
            output.printResult("draining", "the entry host is draining");
            return ExitCode.SUCCESS;
        }
    }

    private ExitCode drainServer(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHostClient client = connectionOptions.createClient(arguments)) {
            AdminClient adminClient = new AdminClient(client);
            JsonNode config = adminClient.get("config");
            Ticket ticket = leavingTicket(config, arguments.getString("id"), arguments.getString("author"));
            output.printDocument(adminClient.send(ticket));
            return ExitCode.SUCCESS;
        }
    }

    /** Creates a ticket that sets one backend server to the leaving state and changes nothing else. */
    private static Ticket leavingTicket(JsonNode config, String id, String author) throws DispatchException {
        JsonNode serverJson = config.path("servers").path(id);
        if (serverJson.isMissingNode()) {
            throw new DispatchException(ErrorKind.UNKNOWN_OBJECT, "backend server \"" + id + "\" does not exist");
        }
        BackendServerConfig current = Json.mapper().convertValue(serverJson, BackendServerConfig.class);
        BackendServerConfig leaving = new BackendServerConfig(
                current.id(),
                current.zone(),
                current.rack(),
                current.address(),
                current.slots(),
                current.connections(),
                current.labels(),
                ServerState.LEAVING);
        return new Ticket(
                config.path("number").asLong() + 1,
                UUID.randomUUID().toString(),
                author,
                new Ticket.Put(null, null, List.of(leaving), null, null),
                null);
    }
}
