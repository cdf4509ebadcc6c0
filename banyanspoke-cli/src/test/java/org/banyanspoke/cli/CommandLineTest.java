package org.banyanspoke.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandLineTest {
    private static final String ID = "h1~127.0.0.1:1~0000000000000001~0~1~0000000000000002";
    private static final String JOB = "{\"batch\": \"b\", \"tasks\": [{\"id\": \"t1\"}]} // one task";
    private static final String COMPLETE = "{\"jobId\":\"" + ID + "\",\"state\":\"complete\",\"counts\":{\"done\":1},"
            + "\"tasks\":[{\"id\":\"t1\",\"result\":\"x\",\"server\":\"s\"}]}";

    private final Map<String, String> responses = new HashMap<>();
    private final List<String> requests = new ArrayList<>();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private HttpServer server;
    private String address;

    @BeforeEach
    void startServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::respond);
        server.start();
        address = "127.0.0.1:" + server.getAddress().getPort();
    }

    @AfterEach
    void stopServer() {
        server.stop(0);
    }

    private void respond(HttpExchange exchange) throws IOException {
        String request = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        requests.add(request);
        exchange.getRequestBody().readAllBytes();
        String[] response = responses.getOrDefault(request, "404 {}").split(" ", 2);
        byte[] body = response[1].getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(Integer.parseInt(response[0]), body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private ExitCode run(String... arguments) {
        CommandLine commandLine = new CommandLine(
                Map.of(ConnectionOptions.TOKEN_VARIABLE, "token"),
                new ByteArrayInputStream(JOB.getBytes(StandardCharsets.UTF_8)),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return commandLine.run(arguments);
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    @Nested
    class Submission {
        private ExitCode submit() {
            return run("--json", "job", "submit", "--team", "t", "--host", address, "-");
        }

        /** Guards against submitting without a reserved id, which could not be retried safely. */
        @Test
        void reservesIdSubmitsJobAndPrintsResult() {
            responses.put("POST /v1/teams/t/job-ids", "201 {\"jobIds\":[\"" + ID + "\"]}");
            responses.put("PUT /v1/teams/t/jobs/" + ID + "?wait=false", "200 " + COMPLETE);
            assertThat(submit()).isEqualTo(ExitCode.SUCCESS);
            assertThat(out()).contains("\"state\":\"complete\"").contains("\"result\":\"x\"");
            assertThat(requests).hasSize(2);
        }

        /** Guards against an exit code by which a script cannot tell a refusal from a job that may have run. */
        @Test
        void refusalHasDistinctExitCode() {
            String error = "{\"error\":{\"kind\":\"QUOTA_EXCEEDED\",\"execution\":\"not_run\",\"message\":\"m\"}}";
            responses.put("POST /v1/teams/t/job-ids", "429 " + error);
            assertThat(submit()).isEqualTo(ExitCode.REFUSED);
            assertThat(out()).contains("QUOTA_EXCEEDED");
        }

        /** Guards against exit code 0 for a failed job. */
        @Test
        void failedJobHasDistinctExitCode() {
            responses.put("POST /v1/teams/t/job-ids", "201 {\"jobIds\":[\"" + ID + "\"]}");
            responses.put(
                    "PUT /v1/teams/t/jobs/" + ID + "?wait=false",
                    "502 {\"jobId\":\"" + ID + "\",\"state\":\"failed\",\"error\":{\"kind\":\"TASK_FAILED\","
                            + "\"execution\":\"may_have_run\",\"message\":\"m\"},\"counts\":{\"failed\":1},\"tasks\":[]}");
            assertThat(submit()).isEqualTo(ExitCode.MAY_HAVE_RUN);
        }
    }

    @Nested
    class InvalidInput {
        /** Guards against sending a request for an invalid command line. */
        @Test
        void isReportedAndNoRequestIsSent() {
            assertThat(run("job", "submit", "--host", address, "-")).isEqualTo(ExitCode.USAGE);
            assertThat(run("job", "submit", "--team", "t", "--host", "localhost", "-"))
                    .isEqualTo(ExitCode.USAGE);
            assertThat(run("job", "submit", "--team", "t", "--host", address, "missing.json"))
                    .isEqualTo(ExitCode.USAGE);
            assertThat(run("job", "status", "--team", "t", "--host", address, "not-an-id"))
                    .isEqualTo(ExitCode.USAGE);
            assertThat(requests).isEmpty();
            assertThat(err())
                    .contains("--team is required")
                    .contains("localhost")
                    .contains("missing.json");
        }

        /** Guards against an uncaught exception when no entry host is reachable. */
        @Test
        void unreachableHostHasDistinctExitCode() {
            server.stop(0);
            assertThat(run("show", "status", "--host", address)).isEqualTo(ExitCode.UNREACHABLE);
            assertThat(err()).contains("no response from " + address);
        }
    }

    @Nested
    class SettingsFiles {
        @TempDir
        private Path directory;

        private String write(String text) throws IOException {
            return Files.writeString(directory.resolve("settings.json"), text).toString();
        }

        /** Guards against reporting only the first error, and against rules that differ from the daemon's. */
        @Test
        void allErrorsAreReported() throws IOException {
            String invalid = write("{\"host\": {\"id\": \"h 1\"}, \"callers\": {\"address\": \"localhost:1\"}}");
            assertThat(run("settings", "check", invalid)).isEqualTo(ExitCode.USAGE);
            assertThat(err())
                    .contains("host.id: found \"h 1\", allowed: 1 to 63 letters")
                    .contains("host.zone: found absent")
                    .contains("callers.address: found \"localhost:1\", allowed: an IPv4 address");
            assertThat(run("--json", "settings", "check", invalid)).isEqualTo(ExitCode.USAGE);
            assertThat(out()).startsWith("{\"error\":[{\"path\":\"host.id\",\"value\":");
            assertThat(run("settings", "check", "missing.json")).isEqualTo(ExitCode.USAGE);
        }

        /** Guards against reporting only the first error in the platform settings. */
        @Test
        void allErrorsOfPlatformSettingsAreReported() throws IOException {
            String invalid =
                    write("node = \"n\"\nzone = \"a\"\n[listen]\nfront = \"nowhere\"\n[bounds]\ngrace_s = 0\n");
            assertThat(run("settings", "check-platform", invalid)).isEqualTo(ExitCode.USAGE);
            assertThat(err())
                    .contains("/ip is missing, not a non-empty string")
                    .contains("/listen/front is \"nowhere\", not ip:port")
                    .contains("/bounds/grace_s is 0, not a number from 1.0 to 3600.0");
            assertThat(run("--json", "settings", "check-platform", invalid)).isEqualTo(ExitCode.USAGE);
            assertThat(out()).startsWith("{\"error\":\"invalid settings: /ip is missing");
        }

        @Test
        void validPlatformSettingsAreAccepted() throws IOException {
            String valid = write(String.join(
                    "\n",
                    "node = \"n\"",
                    "ip = \"127.0.0.1\"",
                    "zone = \"a\"",
                    "port_range = [9000, 9010]",
                    "[listen]",
                    "front = \"127.0.0.1:1\"",
                    "ready = \"127.0.0.1:2\"",
                    "[limits]",
                    "cpu_share = 0.5",
                    "cores = 1",
                    "[bounds]",
                    "grace_s = 6",
                    "max_hold_ms = 1000",
                    "far_factor = 2",
                    "[platform]",
                    "address = \"127.0.0.1:3\""));
            assertThat(run("settings", "check-platform", valid)).isEqualTo(ExitCode.SUCCESS);
            assertThat(out()).contains("is valid");
        }

        /** Guards against an example in docs/api.md that fails validation. */
        @Test
        void exampleInApiDocumentationIsValid() throws IOException {
            String page = Files.readString(Path.of("..", "docs", "api.md"));
            String section = page.substring(page.indexOf("## Settings of the daemon"));
            String example = section.split("```", -1)[1].replace("<hex>", "0".repeat(64));
            assertThat(run("settings", "check", write(example))).isEqualTo(ExitCode.SUCCESS);
            assertThat(out()).contains("is valid");
            assertThat(requests).isEmpty();
        }
    }

    @Nested
    class Status {
        /** Guards against a status output that omits suspect, dead or drained hosts. */
        @Test
        void namesMembersThatAreNotLive() {
            responses.put("GET /v1/admin/status", "200 {\"host\":\"h1\",\"ready\":true,\"draining\":false}");
            responses.put(
                    "GET /v1/admin/members",
                    "200 [{\"host\":\"h1\",\"liveness\":\"live\"},{\"host\":\"h2\",\"liveness\":\"left\"},"
                            + "{\"host\":\"h3\",\"liveness\":\"suspect\"},{\"host\":\"h4\",\"liveness\":\"suspect\"}]");
            assertThat(run("show", "status", "--host", address)).isEqualTo(ExitCode.SUCCESS);
            assertThat(out().lines())
                    .containsExactly(
                            "host: h1",
                            "ready: true",
                            "draining: false",
                            "members: 1 live, 1 drained (h2), 2 suspect (h3, h4)");
        }
    }

    @Nested
    class Tables {
        /** Guards against misaligned columns when rows have different fields. */
        @Test
        void showAllFieldsOfAllRows() {
            responses.put(
                    "GET /v1/admin/servers", "200 [{\"id\":\"b1\",\"zone\":\"z1\"},{\"id\":\"b22\",\"slots\":8}]");
            assertThat(run("show", "servers", "--host", address)).isEqualTo(ExitCode.SUCCESS);
            assertThat(out().lines()).containsExactly("id   zone  slots", "b1   z1    -", "b22  -     8");
        }
    }
}
