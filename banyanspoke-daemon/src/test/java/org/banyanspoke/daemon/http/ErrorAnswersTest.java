package org.banyanspoke.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.json.Json;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ErrorAnswersTest {
    @Nested
    class Table {
        /** Guards against unnoticed changes of the status, headers or body for an error kind. */
        @Test
        void hasOneAnswerForEachKind() {
            Approvals.verify(Arrays.stream(ErrorKind.values())
                    .map(kind -> describe(ErrorAnswers.of(new DispatchException(kind, "reason"))))
                    .collect(Collectors.joining("\n")));
        }

        private String describe(HttpResponse answer) {
            JsonNode body = Json.mapper().valueToTree(answer.body());
            return answer.status() + " " + new TreeMap<>(answer.headers()) + " " + body;
        }
    }

    @Nested
    class RetryAfter {
        /** Guards against Retry-After: 0, which makes callers retry immediately. */
        @Test
        void isRoundedUpToSeconds() {
            RefusedException e = new RefusedException(ErrorKind.OVERLOADED, "busy", 1);
            assertThat(ErrorAnswers.of(e).headers()).containsEntry("Retry-After", "1");
        }

        /** Guards against inviting retries of a request that can never succeed. */
        @Test
        void isAbsentIfARetryCannotSucceed() {
            RefusedException e = new RefusedException(ErrorKind.INVALID_JOB, "no tasks", 0);
            assertThat(ErrorAnswers.of(e).headers()).doesNotContainKey("Retry-After");
        }
    }

    @Nested
    class Documentation {
        private static final Pattern ROW =
                Pattern.compile("^\\| `([A-Z_]+)` \\| (\\d+) \\| (\\w+) \\|.+\\|.+\\|$", Pattern.MULTILINE);

        /**
         * Guards against a docs/errors.md that lacks an error kind, lists a removed one or states another status or
         * execution.
         */
        @Test
        void hasExactlyTheRowsOfTheEnum() throws Exception {
            String page = Files.readString(Path.of("..", "docs", "errors.md"));
            List<String> documented = ROW.matcher(page)
                    .results()
                    .map(ErrorAnswersTest.Documentation::row)
                    .toList();
            List<String> expected = Arrays.stream(ErrorKind.values())
                    .map(kind -> kind + " " + kind.httpStatus() + " "
                            + kind.execution().name().toLowerCase(Locale.ROOT))
                    .toList();
            assertThat(documented).containsExactlyElementsOf(expected);
        }

        private static String row(MatchResult match) {
            return match.group(1) + " " + match.group(2) + " " + match.group(3);
        }
    }
}
