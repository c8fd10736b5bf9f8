package org.pistachioline.core.queueing;

import java.util.HashMap;
import java.util.Map;

import org.pistachioline.core.traffic.RequestInfo;

/**
 * Learns how long the answers of each workspace and model turn out.
 * <p>
 * Made for callers that all ask for the same large maximum and use little of it: charged
 * by the maximum, a workspace with short answers would get a fraction of its share. One
 * mean is kept for each power of two of the maximum, since callers with short and long
 * work in one workspace mostly differ there; that also bounds the memory.
 */
final class OutputEstimates {

	private static final double SAMPLE_WEIGHT = 0.05;

	private static final double FIRST_GUESS_RATIO = 0.5;

	private static final int FIRST_GUESS_MOST = 256;

	private final Map<Key, Double> meanTokens = new HashMap<>();

	double outputTokens(RequestInfo info) {
		final Double mean = this.meanTokens.get(Key.of(info));
		final double guess = Math.min(FIRST_GUESS_MOST, info.maxOutputTokens() * FIRST_GUESS_RATIO);
		return Math.max(1, Math.min(info.maxOutputTokens(), (mean != null) ? mean : guess));
	}

	void learn(RequestInfo info, int outputTokens) {
		this.meanTokens.merge(Key.of(info), (double) outputTokens,
				(mean, sample) -> mean + SAMPLE_WEIGHT * (sample - mean));
	}

	void clear() {
		this.meanTokens.clear();
	}

	private record Key(String workspace, String name, int sizeClass) {

		static Key of(RequestInfo info) {
			return new Key(info.workspace(), info.name(),
					Integer.SIZE - Integer.numberOfLeadingZeros(info.maxOutputTokens()));
		}

	}

}
