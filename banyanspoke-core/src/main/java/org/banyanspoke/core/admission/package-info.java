/** Admission control: decides whether a job is accepted before any of its tasks is queued. */
package org.banyanspoke.core.admission;
