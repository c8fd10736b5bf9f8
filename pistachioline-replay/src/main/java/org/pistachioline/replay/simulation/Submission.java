package org.pistachioline.replay.simulation;

import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.replay.trace.ArrivalLine;

/**
 * One request as it came to one daemon; a caller that comes again makes another.
 */
final class Submission {

	final ArrivalLine call;

	final RequestInfo info;

	final SimulatedDaemon daemon;

	final long atNanos;

	final int repeatsLeft;

	long firstTokenAtNanos;

	long runBeganNanos;

	boolean reachedTarget;

	boolean claimed;

	int runs;

	int liveRuns;

	int ends;

	Submission(ArrivalLine call, RequestInfo info, SimulatedDaemon daemon, long atNanos, int repeatsLeft) {
		this.call = call;
		this.info = info;
		this.daemon = daemon;
		this.atNanos = atNanos;
		this.repeatsLeft = repeatsLeft;
	}

}
