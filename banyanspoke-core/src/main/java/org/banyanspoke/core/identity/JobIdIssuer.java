package org.banyanspoke.core.identity;

import java.util.List;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;

/** Issues the job ids of one process and verifies them. Keeps no record of an issued id. */
public interface JobIdIssuer {
    /** Returns new ids of the current generation for the team. */
    List<JobId> issue(TeamId team, int count);

    /** Returns whether this process issued the id to the team. */
    boolean issued(JobId jobId, TeamId team);

    /** Returns the process that issues the ids. */
    ProcessIdentity owner();
}
