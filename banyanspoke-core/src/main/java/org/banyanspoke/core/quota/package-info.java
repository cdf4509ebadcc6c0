/** Team quotas over all entry hosts. */
package org.banyanspoke.core.quota;
