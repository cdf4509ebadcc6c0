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
import org.banyanspoke.cli.ConnectionOptions;
import org.banyanspoke.cli.ExitCode;
import org.banyanspoke.cli.InputFile;
import org.banyanspoke.cli.Output;
import org.banyanspoke.cli.UsageException;
import org.banyanspoke.client.ConnectionFailedException;
import org.banyanspoke.client.EntryHostClient;
import org.banyanspoke.client.JobClient;
import org.banyanspoke.client.ReserveJobIdsCommand;
import org.banyanspoke.client.SubmitJobCommand;

/** Subcommands of {@code job}: reserve, submit, status and cancel. */
public final class JobCommands {
    private final ConnectionOptions connectionOptions;
    private final InputFile input;

    /** Creates the subcommands for the given connection options and input. */
    public JobCommands(ConnectionOptions connectionOptions, InputFile input) {
        this.connectionOptions = connectionOptions;
        this.input = input;
    }

    /** Adds the subcommands to a parser. */
    public void register(Subparsers parsers) {
        Subparsers jobGroup = parsers.addParser("job")
                .help("submit, monitor and cancel jobs")
                .addSubparsers()
                .title("subcommands")
                .metavar("SUBCOMMAND");
        Subparser reserve = addCommand(jobGroup, "reserve", "reserve job ids without starting a job", this::reserve);
        reserve.addArgument("--count").type(Integer.class).setDefault(1).help("number of ids, 1 to 1000");
        Subparser submit = addCommand(jobGroup, "submit", "submit a job and wait for its result", this::submit);
        submit.addArgument("file").metavar("FILE").help("job as JSON, or - for standard input");
        submit.addArgument("--job-id")
                .metavar("ID")
                .help("reserved job id; a repeated submission with the same id and file does not start tasks twice");
        submit.addArgument("--no-wait").action(Arguments.storeTrue()).help("return as soon as the job is accepted");
        addCommand(jobGroup, "status", "show the state of a job", this::status)
                .addArgument("id")
                .metavar("ID");
        addCommand(jobGroup, "cancel", "cancel a job", this::cancel)
                .addArgument("id")
                .metavar("ID");
    }

    private static Subparser addCommand(Subparsers parsers, String name, String help, Command command) {
        Subparser parser = parsers.addParser(name).help(help).description(help).setDefault("command", command);
        ConnectionOptions.addCallerArguments(parser);
        return parser;
    }

    private ExitCode reserve(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        int count = arguments.getInt("count");
        if (count < 1 || count > 1_000) {
            throw new UsageException("--count is " + count + ", must be 1 to 1000");
        }
        try (EntryHostClient client = connectionOptions.createClient(arguments)) {
            List<JobId> ids = new ReserveJobIdsCommand(client, parseTeam(arguments))
                    .setCount(count)
                    .call();
            output.printResult(
                    ids,
                    String.join(
                            System.lineSeparator(),
                            ids.stream().map(JobId::toString).toList()));
            return ExitCode.SUCCESS;
        }
    }

    private ExitCode submit(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        JobRequest request = input.readJson(arguments.getString("file"), JobRequest.class);
        request.validate();
        TeamId team = parseTeam(arguments);
        try (EntryHostClient client = connectionOptions.createClient(arguments)) {
            JobId id = arguments.getString("job_id") == null
                    ? new ReserveJobIdsCommand(client, team).call().get(0)
                    : parseJobId(arguments.getString("job_id"));
            // Printed before the submission, so that the caller can repeat it with the same id after a crash of this
            // process.
            output.printProgress("job id: " + id);
            JobAnswer answer = new SubmitJobCommand(client, team, request)
                    .setJobId(id)
                    .setWait(!arguments.getBoolean("no_wait"))
                    .setProgressListener(state -> output.printProgress(summarize(state)))
                    .call();
            return printJob(answer, output);
        }
    }

    private ExitCode status(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHostClient client = connectionOptions.createClient(arguments)) {
            return printJob(
                    new JobClient(client, parseTeam(arguments), parseJobId(arguments.getString("id"))).status(),
                    output);
        }
    }

    private ExitCode cancel(Namespace arguments, Output output)
            throws UsageException, DispatchException, ConnectionFailedException {
        try (EntryHostClient client = connectionOptions.createClient(arguments)) {
            JobAnswer answer =
                    new JobClient(client, parseTeam(arguments), parseJobId(arguments.getString("id"))).cancel();
            output.printResult(answer, summarize(answer));
            return ExitCode.SUCCESS;
        }
    }

    private static ExitCode printJob(JobAnswer answer, Output output) {
        output.printResult(answer, summarize(answer));
        return answer.state() == JobState.FAILED ? ExitCode.of(answer.error().kind()) : ExitCode.SUCCESS;
    }

    private static String summarize(JobAnswer answer) {
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

    private static TeamId parseTeam(Namespace arguments) throws UsageException {
        try {
            return new TeamId(arguments.getString("team"));
        } catch (IllegalArgumentException e) {
            throw new UsageException("--team: " + e.getMessage());
        }
    }

    private static JobId parseJobId(String text) throws UsageException {
        try {
            return JobId.parse(text);
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
