/** Error kinds and the checked exceptions that carry them. */
package org.banyanspoke.api.errors;
