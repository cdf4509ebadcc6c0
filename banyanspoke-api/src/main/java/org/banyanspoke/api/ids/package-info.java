/** Value types for identifiers. */
package org.banyanspoke.api.ids;
