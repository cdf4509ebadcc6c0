/** One class for each subcommand. */
package org.banyanspoke.cli.commands;
