package org.pistachioline.replay;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import org.pistachioline.replay.simulation.PolicySet;
import org.pistachioline.replay.trace.MalformedTraceException;
import org.pistachioline.replay.trace.OutcomeLine;
import org.pistachioline.replay.trace.TraceReader;

/**
 * Replays traces and says whether their stated outcomes hold.
 */
public final class ReplayMain {

	static final int EXIT_MET = 0;

	static final int EXIT_SHORT = 1;

	static final int EXIT_USAGE = 2;

	private final PrintStream out;

	private final PrintStream err;

	ReplayMain(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
	}

	/**
	 * Replays traces.
	 * @param args the files
	 */
	public static void main(String[] args) {
		System.exit(new ReplayMain(System.out, System.err).run(List.of(args)));
	}

	int run(List<String> files) {
		if (files.isEmpty() || files.get(0).startsWith("-")) {
			this.err.println("usage: bin/replay FILE...");
			return EXIT_USAGE;
		}
		int exit = EXIT_MET;
		for (final String file : files) {
			exit = Math.max(exit, replay(file));
		}
		return exit;
	}

	private int replay(String file) {
		try {
			final Verdicts verdicts = new Verdicts(TraceReader.read(file, Files.readAllLines(Path.of(file))));
			verdicts.replayAll();
			return print(file, verdicts);
		}
		catch (IOException ex) {
			this.err.println(file + ": cannot be read: " + ex.getMessage());
		}
		catch (MalformedTraceException | IllegalArgumentException ex) {
			this.err.println(ex.getMessage());
		}
		return EXIT_USAGE;
	}

	private int print(String file, Verdicts verdicts) {
		this.out.printf(Locale.ROOT, "%s (%s, %d arrivals)%n", verdicts.trace().header().name(), file,
				verdicts.trace().arrivals().size());
		this.out.printf(Locale.ROOT, "  %-52s %14s %14s %16s %14s  %s%n", "outcome", "pistachioline", "round_robin",
				"least_in_flight", "admit_all", "stated");
		boolean met = true;
		for (final OutcomeLine outcome : verdicts.trace().outcomes()) {
			final double ours = verdicts.figure(PolicySet.PISTACHIOLINE, outcome);
			met &= outcome.isMet(ours);
			this.out.printf(Locale.ROOT, "  %-52s %14.3f %14.3f %16.3f %14.3f  %s%s%n", label(outcome), ours,
					verdicts.figure(PolicySet.ROUND_ROBIN, outcome),
					verdicts.figure(PolicySet.LEAST_IN_FLIGHT, outcome), verdicts.figure(PolicySet.ADMIT_ALL, outcome),
					bounds(outcome), outcome.isMet(ours) ? "" : "  FALLS SHORT");
		}
		return met ? EXIT_MET : EXIT_SHORT;
	}

	private static String label(OutcomeLine outcome) {
		final String error = outcome.error().isEmpty() ? "" : " " + outcome.error();
		return outcome.measure() + error + (outcome.workspace().isEmpty() ? "" : " of " + outcome.workspace());
	}

	private static String bounds(OutcomeLine outcome) {
		final String least = (outcome.atLeast() != null) ? ">= " + outcome.atLeast() : "";
		final String most = (outcome.atMost() != null) ? "<= " + outcome.atMost() : "";
		return (least + " " + most).strip();
	}

}
