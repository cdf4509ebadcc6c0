/** JSON serialization. */
package org.banyanspoke.api.json;
