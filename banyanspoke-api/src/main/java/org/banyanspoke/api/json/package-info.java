/** JSON mapping. */
package org.banyanspoke.api.json;
