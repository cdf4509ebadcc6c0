/** The closed list of error kinds and the checked exceptions. */
package org.banyanspoke.api.errors;
