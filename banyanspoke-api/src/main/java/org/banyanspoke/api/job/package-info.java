/** Job requests and responses. */
package org.banyanspoke.api.job;
