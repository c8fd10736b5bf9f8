package org.pistachioline.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

import org.pistachioline.adapters.toml.InvalidInputException;
import org.pistachioline.adapters.toml.Setting;
import org.pistachioline.adapters.toml.Settings;
import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.Events;

/**
 * Command-line entry point of the daemon.
 */
public final class DaemonMain {

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	private final OptionParser parser = new OptionParser();

	private final OptionSpec<String> config = this.parser.accepts("config", "path of the TOML settings file")
		.withRequiredArg()
		.ofType(String.class);

	private final OptionSpec<Void> help = this.parser.accepts("help", "print this help and exit").forHelp();

	private final OptionSpec<Void> version = this.parser.accepts("version", "print the version and exit").forHelp();

	private DaemonMain() {
	}

	/**
	 * Starts the daemon, which runs until the process is signalled to stop. The exit
	 * status is 1 where it fails to start and 2 for invalid arguments or settings.
	 * @param args the command line
	 * @throws IOException if the help cannot be printed
	 */
	public static void main(String[] args) throws IOException {
		final int status = new DaemonMain().run(args);
		if (status != 0) {
			System.exit(status);
		}
	}

	private int run(String[] args) throws IOException {
		final OptionSet options;
		try {
			options = this.parser.parse(args);
		}
		catch (OptionException ex) {
			System.err.println(ex.getMessage());
			return EXIT_USAGE;
		}
		if (options.has(this.help)) {
			this.parser.printHelpOn(System.out);
			return 0;
		}
		if (options.has(this.version)) {
			System.out.println("pistachioline " + Version.current());
			return 0;
		}
		if (!options.has(this.config)) {
			System.err.println("--config FILE.toml is required; see --help");
			return EXIT_USAGE;
		}
		return start(options.valueOf(this.config));
	}

	private static int start(String file) {
		final Settings settings;
		try {
			settings = Settings.read(file, Files.readString(Path.of(file)));
		}
		catch (InvalidInputException ex) {
			System.err.println(ex.getMessage());
			return EXIT_USAGE;
		}
		catch (IOException ex) {
			System.err.println(file + ": cannot be read: " + ex.getMessage());
			return EXIT_USAGE;
		}
		// Must be set before the first event, which loads the logging configuration.
		System.setProperty("pistachioline.logging.format", settings.text(Setting.LOGGING_FORMAT));
		final Daemon daemon = new Daemon(settings);
		try {
			daemon.start();
		}
		catch (RuntimeException ex) {
			Events.log(EventId.START_FAILED, ex);
			daemon.stop();
			return EXIT_FAILED;
		}
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			daemon.leave();
			Events.close();
		}, "leave"));
		return 0;
	}

}
