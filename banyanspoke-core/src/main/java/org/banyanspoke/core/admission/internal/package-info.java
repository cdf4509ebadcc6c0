/** Admission rules, and tracking of the quota that teams use. */
package org.banyanspoke.core.admission.internal;
