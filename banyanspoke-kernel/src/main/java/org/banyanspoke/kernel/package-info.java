/** The micro-kernel: services that start in order and find each other by name. */
package org.banyanspoke.kernel;
