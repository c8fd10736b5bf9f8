package org.pistachioline.ctl;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import joptsimple.OptionException;

/**
 * The command line of the operators' client.
 */
public final class CtlMain {

	private final List<Command> commands = List.of(new ValidateCommand(), new PublishCommand(), new StatusCommand(),
			new DumpCommand(), new ExplainCommand());

	private CtlMain() {
	}

	/**
	 * Runs one command.
	 * @param args the command line
	 * @throws IOException if nothing can be printed
	 */
	public static void main(String[] args) throws IOException {
		System.exit(new CtlMain().run(args).code());
	}

	private ExitCode run(String[] args) throws IOException {
		if (args.length == 0) {
			usage(System.err);
			return ExitCode.USAGE;
		}
		if (args[0].equals("--help")) {
			usage(System.out);
			return ExitCode.DONE;
		}
		if (args[0].equals("--version")) {
			final String version = Optional.ofNullable(CtlMain.class.getPackage().getImplementationVersion())
				.orElse("development");
			System.out.println("pistachioctl " + version);
			return ExitCode.DONE;
		}
		for (final Command command : this.commands) {
			if (command.name().equals(args[0])) {
				return run(command, Arrays.copyOfRange(args, 1, args.length));
			}
		}
		System.err.println("unknown command '" + args[0] + "'");
		usage(System.err);
		return ExitCode.USAGE;
	}

	private static ExitCode run(Command command, String[] args) throws IOException {
		try {
			return command.run(args);
		}
		catch (OptionException ex) {
			System.err.println(command.name() + ": " + ex.getMessage());
			return ExitCode.USAGE;
		}
	}

	private void usage(java.io.PrintStream out) {
		out.println("usage: pistachioctl COMMAND [OPTIONS]; COMMAND --help lists the options");
		for (final Command command : this.commands) {
			out.printf("  %-10s %s%n", command.name(), command.summary());
		}
	}

}
