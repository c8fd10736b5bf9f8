package org.pistachioline.replay.trace;

import java.util.List;

/**
 * The first line: the size of the system and the times that hold for all.
 *
 * @param name the trace's name
 * @param daemons how many daemons serve
 * @param durationSeconds how long arrivals come
 * @param seed the seed of all chance
 * @param availabilityZones the zones over which daemons and targets are spread
 * @param firstTokenMillis the first-token deadline of models
 * @param totalMillis the deadline of whole answers
 * @param reportIntervalMillis how often a daemon asks each target for its load
 * @param reportLagMillis how old a target's own figure may be
 * @param presenceMillis how long a silent target counts as present
 * @param peerMillis how long word takes from one daemon to another
 * @param measureFromSeconds where the measured window begins
 * @param measureToSeconds where the measured window ends
 * @param logLatencyMillis how long an append takes
 * @param logLostAnswerRatio how many answers of the log are lost after they took effect
 * @param logLostAnswerMillis how long it takes until a lost answer is known by reading on
 */
public record HeaderLine(String name, int daemons, double durationSeconds, long seed, List<String> availabilityZones,
		long firstTokenMillis, long totalMillis, Long reportIntervalMillis, Long reportLagMillis, Long presenceMillis,
		Long peerMillis, double measureFromSeconds, Double measureToSeconds, Long logLatencyMillis,
		double logLostAnswerRatio, Long logLostAnswerMillis) implements TraceLine {

	private static final int MOST_DAEMONS = 512;

	private static final double MOST_SECONDS = 1e6;

	public HeaderLine {
		Checks.text("name", name);
		Checks.between("daemons", daemons, 1, MOST_DAEMONS);
		Checks.between("duration_seconds", durationSeconds, 0, MOST_SECONDS);
		Checks.between("first_token_millis", firstTokenMillis, 1, Integer.MAX_VALUE);
		Checks.between("total_millis", totalMillis, 1, Integer.MAX_VALUE);
		Checks.between("log_lost_answer_ratio", logLostAnswerRatio, 0, 1);
		availabilityZones = List.copyOf(Checks.or(availabilityZones, List.of("a")));
		reportIntervalMillis = Checks.or(reportIntervalMillis, 500L);
		Checks.between("report_interval_millis", reportIntervalMillis, 1, Integer.MAX_VALUE);
		reportLagMillis = Checks.or(reportLagMillis, 500L);
		presenceMillis = Checks.or(presenceMillis, 2_500L);
		peerMillis = Checks.or(peerMillis, 200L);
		measureToSeconds = Checks.or(measureToSeconds, durationSeconds);
		logLatencyMillis = Checks.or(logLatencyMillis, 10L);
		logLostAnswerMillis = Checks.or(logLostAnswerMillis, 300L);
	}

}
