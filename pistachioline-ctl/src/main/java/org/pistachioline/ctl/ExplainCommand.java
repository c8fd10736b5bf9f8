package org.pistachioline.ctl;

import java.io.IOException;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.event.EventId;

/**
 * Explains an event number or an error code.
 */
final class ExplainCommand implements Command {

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String summary() {
		return "EVENT-OR-ERROR: explain an event such as PL-0200 or an error code such as queue_full";
	}

	@Override
	public ExitCode run(String[] args) throws IOException {
		final OptionParser parser = new OptionParser();
		parser.accepts("help", "print this help").forHelp();
		parser.nonOptions("the event or the error code");
		final OptionSet options = parser.parse(args);
		if (options.has("help")) {
			parser.printHelpOn(System.out);
			return ExitCode.DONE;
		}
		if (options.nonOptionArguments().size() != 1) {
			System.err.println("explain: exactly one event or error code is needed");
			return ExitCode.USAGE;
		}
		return explain((String) options.nonOptionArguments().get(0));
	}

	private static ExitCode explain(String name) {
		for (final EventId event : EventId.values()) {
			if (event.label().equalsIgnoreCase(name)) {
				System.out.println(event.label() + " " + event.level() + ": " + event.text());
				advise(event.label());
				return ExitCode.DONE;
			}
		}
		for (final ErrorKind kind : ErrorKind.values()) {
			if (kind.code().equalsIgnoreCase(name)) {
				System.out
					.println(kind.code() + ": HTTP " + kind.httpStatus() + ", run: " + kind.runState().headerValue()
							+ ", retry: " + (kind.retryable() ? "yes" : "no") + ". " + kind.message());
				advise(kind.code());
				return ExitCode.DONE;
			}
		}
		System.err.println("explain: no event and no error is called '" + name + "'");
		return ExitCode.FAILED;
	}

	private static void advise(String name) {
		System.out.println("What to do: " + new Advice().about(name).orElse("nothing; it is information."));
	}

}
