package org.banyanspoke.bench.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.TaskId;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.api.json.Json;

/** Encodes job submissions and validates responses. */
final class JobMessages {
    private JobMessages() {}

    static String encodeRequest(PlannedJob job) {
        List<TaskSpec> tasks = new ArrayList<>(job.tasks());
        for (int i = 0; i < job.tasks(); i++) {
            String payload = "{\"runMillis\":" + job.runMillis()[i] + "}";
            tasks.add(new TaskSpec(new TaskId(job.taskId(i)), payload, job.declaredMillis()[i], true));
        }
        try {
            return Json.mapper()
                    .writeValueAsString(new JobRequest(new BatchId(job.load().name()), tasks, 0));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize job", e);
        }
    }

    /** Returns whether a response has the results of all tasks in order. The expected result of a task is its id. */
    static boolean hasAllResults(PlannedJob job, JsonNode response) {
        JsonNode tasks = response.path("tasks");
        if (tasks.size() != job.tasks()) {
            return false;
        }
        for (int i = 0; i < job.tasks(); i++) {
            String id = job.taskId(i);
            JsonNode task = tasks.get(i);
            if (!id.equals(task.path("id").asText())
                    || !id.equals(task.path("result").asText())) {
                return false;
            }
        }
        return true;
    }
}
