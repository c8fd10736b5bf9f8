package org.pistachioline.ctl;

import java.io.IOException;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Prints a daemon's whole state as JSON.
 */
final class DumpCommand implements Command {

	private final OptionParser parser = new OptionParser();

	private final OptionSpec<String> admin = this.parser.accepts("admin", "operators' address of the daemon")
		.withRequiredArg()
		.required();

	private final OptionSpec<Void> help = this.parser.accepts("help", "print this help").forHelp();

	@Override
	public String name() {
		return "dump";
	}

	@Override
	public String summary() {
		return "print a daemon's whole state as JSON";
	}

	@Override
	public ExitCode run(String[] args) throws IOException {
		final OptionSet options = this.parser.parse(args);
		if (options.has(this.help)) {
			this.parser.printHelpOn(System.out);
			return ExitCode.DONE;
		}
		try {
			System.out.println(new AdminClient().dump(options.valueOf(this.admin)).toPrettyString());
			return ExitCode.DONE;
		}
		catch (IOException ex) {
			System.err.println("dump: " + ex.getMessage());
			return ExitCode.FAILED;
		}
	}

}
