package org.pistachioline.replay.simulation;

import org.pistachioline.core.traffic.AttemptId;

/**
 * One attempt at a target.
 */
final class Run {

	final AttemptId attempt;

	final Submission submission;

	int position;

	boolean over;

	long beganNanos;

	Run(AttemptId attempt, Submission submission, int position) {
		this.attempt = attempt;
		this.submission = submission;
		this.position = position;
	}

}
