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
final class OutputLengthEstimator {

	private static final double SAMPLE_WEIGHT = 0.05;

	private static final double INITIAL_RATIO = 0.5;

	private final Map<Key, Mean> means = new HashMap<>();

	double estimateTokens(RequestInfo info) {
		final Mean mean = this.means.get(Key.of(info));
		final double guess = info.maxOutputTokens() * INITIAL_RATIO;
		return Math.max(1, Math.min(info.maxOutputTokens(), (mean != null) ? mean.tokens : guess));
	}

	void addSample(RequestInfo info, int outputTokens) {
		final Mean mean = this.means.computeIfAbsent(Key.of(info), (key) -> new Mean());
		mean.samples++;
		mean.tokens += Math.max(SAMPLE_WEIGHT, 1.0 / mean.samples) * (outputTokens - mean.tokens);
	}

	void clear() {
		this.means.clear();
	}

	private static final class Mean {

		private double tokens;

		private int samples;

	}

	private record Key(String workspace, String name, int sizeClass) {

		static Key of(RequestInfo info) {
			return new Key(info.workspace(), info.name(),
					Integer.SIZE - Integer.numberOfLeadingZeros(info.maxOutputTokens()));
		}

	}

}
