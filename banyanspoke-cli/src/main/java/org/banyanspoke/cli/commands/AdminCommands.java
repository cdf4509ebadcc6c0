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
import org.banyanspoke.cli.Connection;
import org.banyanspoke.cli.ExitCode;
import org.banyanspoke.cli.InputFile;
import org.banyanspoke.cli.Output;
import org.banyanspoke.cli.UsageException;
import org.banyanspoke.client.Administration;
import org.banyanspoke.client.ConnectionFailedException;
import org.banyanspoke.client.EntryHosts;

/** Subcommands for operators: {@code ticket}, {@code show} and {@code drain}. */
public final class AdminCommands {
    private static final List<String> RESOURCES =
            List.of("status", "config", "teams", "batches", "servers", "hosts", "members", "metrics");

    private final Connection connection;
    private final InputFile input;

    /** Creates the subcommands. */
    public AdminCommands(Connection connection, InputFile input) {
        this.connection = connection;
        this.input = input;
    }

    /** Adds the subcommands to a parser. */
    public void register(Subparsers parsers) {
        Subparsers tickets = group(parsers, "ticket", "send, list and show change tickets");
        add(tickets, "send", "send a change ticket", this::sendTicket)
                .addArgument("file")
                .metavar("FILE")
                .help("ticket as JSON, or - for standard input");
        add(tickets, "list", "list the latest accepted tickets", this::listTickets)
                .addArgument("--limit")
                .type(Integer.class)
                .setDefault(20)
                .help("number of tickets");
        add(tickets, "show", "show an accepted ticket", this::showTicket)
                .addArgument("number")
                .type(Long.class);
        add(parsers, "show", "show the state of an entry host", this::show)
                .addArgument("resource")
                .choices(RESOURCES)
                .help("one of " + String.join(", ", RESOURCES));
        Subparsers drains = group(parsers, "drain", "take an entry host or a backend server out of service");
        add(drains, "host", "stop the entry host at this address gracefully", this::drainHost);
        Subparser server =
                add(drains, "server", "send a ticket that marks a backend server as leaving", this::drainServer);
        server.addArgument("id").metavar("SERVER");
        server.addArgument("--author").required(true).help("operator named in the ticket");
    }

    private static Subparsers group(Subparsers parsers, String name, String help) {
        return parsers.addParser(name)
                .help(help)
                .addSubparsers()
                .title("subcommands")
                .metavar("SUBCOMMAND");
    }

    private static Subparser add(Subparsers parsers, String name, String help, Command command) {
        Subparser parser = parsers.addParser(name).help(help).description(help).setDefault("command", command);
        Connection.addAdminArguments(parser);
        return parser;
    }

    private ExitCode sendTicket(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        Ticket ticket = input.read(arguments.getString("file"), Ticket.class);
        try (EntryHosts hosts = connection.open(arguments)) {
            output.document(new Administration(hosts).send(ticket));
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

    /** Shows the members with the status, because a host that is suspect, dead or drained serves no callers. */
    private ExitCode showStatus(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHosts hosts = connection.open(arguments)) {
            Administration administration = new Administration(hosts);
            JsonNode status = administration.get("status");
            output.document(status, "members: " + MemberSummary.of(administration.get("members")));
            return ExitCode.SUCCESS;
        }
    }

    private ExitCode get(String resource, Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHosts hosts = connection.open(arguments)) {
            output.document(new Administration(hosts).get(resource));
            return ExitCode.SUCCESS;
        }
    }

    private ExitCode drainHost(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHosts hosts = connection.open(arguments)) {
            new Administration(hosts).drain();
            output.result("draining", "the entry host is draining");
            return ExitCode.SUCCESS;
        }
    }

    private ExitCode drainServer(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHosts hosts = connection.open(arguments)) {
            Administration administration = new Administration(hosts);
            JsonNode config = administration.get("config");
            Ticket ticket = leavingTicket(config, arguments.getString("id"), arguments.getString("author"));
            output.document(administration.send(ticket));
            return ExitCode.SUCCESS;
        }
    }

    /** Builds the ticket that marks one server as leaving and changes nothing else. */
    private static Ticket leavingTicket(JsonNode config, String id, String author) throws DispatchException {
        JsonNode json = config.path("servers").path(id);
        if (json.isMissingNode()) {
            throw new DispatchException(ErrorKind.UNKNOWN_OBJECT, "backend server \"" + id + "\" does not exist");
        }
        BackendServerConfig now = Json.mapper().convertValue(json, BackendServerConfig.class);
        BackendServerConfig leaving = new BackendServerConfig(
                now.id(),
                now.zone(),
                now.rack(),
                now.address(),
                now.slots(),
                now.connections(),
                now.labels(),
                ServerState.LEAVING);
        return new Ticket(
                config.path("number").asLong() + 1,
                UUID.randomUUID().toString(),
                author,
                new Ticket.Put(null, null, List.of(leaving), null, null),
                null);
    }
}
