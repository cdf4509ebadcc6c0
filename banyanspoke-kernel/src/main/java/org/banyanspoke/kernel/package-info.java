/** Service container: ordered start and stop of services, and lookup by name. */
package org.banyanspoke.kernel;
