package org.pistachioline.ctl;

import java.io.IOException;

/**
 * One command of the client.
 */
interface Command {

	/**
	 * Returns the command's name.
	 * @return the name on the command line
	 */
	String name();

	/**
	 * Returns what the command does.
	 * @return one line
	 */
	String summary();

	/**
	 * Runs the command.
	 * @param args what follows its name
	 * @return how it ended
	 * @throws IOException if nothing can be printed
	 */
	ExitCode run(String[] args) throws IOException;

}
