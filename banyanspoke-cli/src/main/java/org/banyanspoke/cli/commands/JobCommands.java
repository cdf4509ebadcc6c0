package org.banyanspoke.cli.commands;

import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobCounts;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.api.job.JobState;
import org.banyanspoke.cli.Connection;
import org.banyanspoke.cli.ExitCode;
import org.banyanspoke.cli.InputFile;
import org.banyanspoke.cli.Output;
import org.banyanspoke.cli.UsageException;
import org.banyanspoke.client.ConnectionFailedException;
import org.banyanspoke.client.EntryHosts;
import org.banyanspoke.client.JobRequests;
import org.banyanspoke.client.ReserveJobIds;
import org.banyanspoke.client.SubmitJob;

/** Subcommands of {@code job}: reserve, submit, status and cancel. */
public final class JobCommands {
    private final Connection connection;
    private final InputFile input;

    /** Creates the subcommands. */
    public JobCommands(Connection connection, InputFile input) {
        this.connection = connection;
        this.input = input;
    }

    /** Adds the subcommands to a parser. */
    public void register(Subparsers parsers) {
        Subparsers jobs = parsers.addParser("job")
                .help("submit, follow and cancel jobs")
                .addSubparsers()
                .title("subcommands")
                .metavar("SUBCOMMAND");
        Subparser reserve = add(jobs, "reserve", "reserve job ids; starts nothing", this::reserve);
        reserve.addArgument("--count").type(Integer.class).setDefault(1).help("number of ids, 1 to 1000");
        Subparser submit = add(jobs, "submit", "submit a job and wait for its answer", this::submit);
        submit.addArgument("file").metavar("FILE").help("job as JSON, or - for standard input");
        submit.addArgument("--job-id")
                .metavar("ID")
                .help("reserved id; submitting again with the same id and file never starts a task twice");
        submit.addArgument("--no-wait").action(Arguments.storeTrue()).help("return as soon as the job is accepted");
        add(jobs, "status", "show the state of a job", this::status)
                .addArgument("id")
                .metavar("ID");
        add(jobs, "cancel", "cancel a job", this::cancel).addArgument("id").metavar("ID");
    }

    private static Subparser add(Subparsers parsers, String name, String help, Command command) {
        Subparser parser = parsers.addParser(name).help(help).description(help).setDefault("command", command);
        Connection.addCallerArguments(parser);
        return parser;
    }

    private ExitCode reserve(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        int count = arguments.getInt("count");
        if (count < 1 || count > 1_000) {
            throw new UsageException("--count is " + count + ", allowed are 1 to 1000");
        }
        try (EntryHosts hosts = connection.open(arguments)) {
            List<JobId> ids =
                    new ReserveJobIds(hosts, team(arguments)).setCount(count).call();
            output.result(
                    ids,
                    String.join(
                            System.lineSeparator(),
                            ids.stream().map(JobId::toString).toList()));
            return ExitCode.SUCCESS;
        }
    }

    private ExitCode submit(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        JobRequest request = input.read(arguments.getString("file"), JobRequest.class);
        request.validate();
        TeamId team = team(arguments);
        try (EntryHosts hosts = connection.open(arguments)) {
            JobId id = arguments.getString("job_id") == null
                    ? new ReserveJobIds(hosts, team).call().get(0)
                    : jobId(arguments.getString("job_id"));
            // Printed before the submission: with the id the caller can ask again after a crash of this process.
            output.progress("job id: " + id);
            JobAnswer answer = new SubmitJob(hosts, team, request)
                    .setJobId(id)
                    .setWait(!arguments.getBoolean("no_wait"))
                    .setProgress(state -> output.progress(summary(state)))
                    .call();
            return print(answer, output);
        }
    }

    private ExitCode status(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHosts hosts = connection.open(arguments)) {
            return print(new JobRequests(hosts, team(arguments), jobId(arguments.getString("id"))).status(), output);
        }
    }

    private ExitCode cancel(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHosts hosts = connection.open(arguments)) {
            JobAnswer answer = new JobRequests(hosts, team(arguments), jobId(arguments.getString("id"))).cancel();
            output.result(answer, summary(answer));
            return ExitCode.SUCCESS;
        }
    }

    private static ExitCode print(JobAnswer answer, Output output) {
        output.result(answer, summary(answer));
        return answer.state() == JobState.FAILED ? ExitCode.of(answer.error().kind()) : ExitCode.SUCCESS;
    }

    private static String summary(JobAnswer answer) {
        JobCounts counts = answer.counts();
        String text = answer.state().name().toLowerCase(java.util.Locale.ROOT) + ": " + counts.done() + " done, "
                + counts.sent() + " sent, " + counts.waiting() + " waiting";
        if (answer.state() != JobState.FAILED) {
            return text;
        }
        return text + ", " + counts.failed() + " failed, " + counts.unknown() + " unknown, " + counts.notStarted()
                + " not started; " + answer.error().kind() + ": "
                + answer.error().message();
    }

    private static TeamId team(Namespace arguments) throws UsageException {
        try {
            return new TeamId(arguments.getString("team"));
        } catch (IllegalArgumentException e) {
            throw new UsageException("--team: " + e.getMessage());
        }
    }

    private static JobId jobId(String text) throws UsageException {
        try {
            return JobId.parse(text);
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
