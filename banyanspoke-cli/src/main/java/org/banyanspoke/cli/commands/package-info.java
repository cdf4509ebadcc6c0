/** Implementations of the subcommands. */
package org.banyanspoke.cli.commands;
