/** Simulators of the platform and of the backend servers, for tests and measurements on one machine. */
package org.banyanspoke.standins;
