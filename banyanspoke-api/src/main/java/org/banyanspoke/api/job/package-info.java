/** Submissions and their answers. */
package org.banyanspoke.api.job;
