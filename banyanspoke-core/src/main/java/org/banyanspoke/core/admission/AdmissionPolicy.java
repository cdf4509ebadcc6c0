package org.banyanspoke.core.admission;

import org.banyanspoke.api.errors.RefusedException;

/** Decides whether a job is accepted. Changes nothing, so a refusal proves that no part of the job was queued. */
@FunctionalInterface
public interface AdmissionPolicy {
    /**
     * Returns normally if the job is accepted.
     *
     * @throws RefusedException with the first rule that is broken
     */
    void admit(AdmissionRequest request, AdmissionLoad load) throws RefusedException;
}
