package org.pistachioline.ctl;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Prints a daemon's state, or a part of it, as JSON.
 */
final class DumpCommand implements Command {

	private final OptionParser parser = new OptionParser();

	private final OptionSpec<String> admin = this.parser.accepts("admin", "operators' address of the daemon")
		.withRequiredArg()
		.required();

	private final OptionSpec<String> section = this.parser
		.accepts("section", "one section only, such as fleet, config, peers or requests")
		.withRequiredArg();

	private final OptionSpec<Integer> from = this.parser.accepts("from", "first entry of each list")
		.withRequiredArg()
		.ofType(Integer.class)
		.defaultsTo(0);

	private final OptionSpec<Integer> limit = this.parser.accepts("limit", "most entries of each list, up to 1000")
		.withRequiredArg()
		.ofType(Integer.class)
		.defaultsTo(100);

	private final OptionSpec<String> match = this.parser.accepts("match", "only entries that contain this text")
		.withRequiredArg();

	private final OptionSpec<Void> help = this.parser.accepts("help", "print this help").forHelp();

	@Override
	public String name() {
		return "dump";
	}

	@Override
	public String summary() {
		return "print a daemon's state, or a part of it, as JSON";
	}

	@Override
	public ExitCode run(String[] args) throws IOException {
		final OptionSet options = this.parser.parse(args);
		if (options.has(this.help)) {
			this.parser.printHelpOn(System.out);
			return ExitCode.DONE;
		}
		try {
			System.out.println(new AdminClient().dump(options.valueOf(this.admin), query(options)).toPrettyString());
			return ExitCode.DONE;
		}
		catch (IOException ex) {
			System.err.println("dump: " + ex.getMessage());
			return ExitCode.FAILED;
		}
	}

	private String query(OptionSet options) {
		final StringBuilder query = new StringBuilder("from=" + options.valueOf(this.from));
		query.append("&limit=").append(options.valueOf(this.limit));
		if (options.has(this.section)) {
			query.append("&section=").append(encoded(options.valueOf(this.section)));
		}
		if (options.has(this.match)) {
			query.append("&match=").append(encoded(options.valueOf(this.match)));
		}
		return query.toString();
	}

	private static String encoded(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

}
