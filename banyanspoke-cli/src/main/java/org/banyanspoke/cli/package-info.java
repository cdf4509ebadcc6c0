/** The command-line tool. */
package org.banyanspoke.cli;
