package org.banyanspoke.core.admission;

import org.banyanspoke.api.errors.RefusedException;

/** Decides whether a job is accepted. Has no side effects, so no task of a refused job was queued. */
@FunctionalInterface
public interface AdmissionPolicy {
    /**
     * Returns normally if the job is accepted.
     *
     * @throws RefusedException for the first rule that the job violates
     */
    void admit(AdmissionRequest request, AdmissionLoad load) throws RefusedException;
}
