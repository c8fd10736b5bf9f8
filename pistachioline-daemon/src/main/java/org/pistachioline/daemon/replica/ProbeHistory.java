package org.pistachioline.daemon.replica;

import java.time.Duration;

/**
 * What the latest probes of one instance have shown.
 * <p>
 * A sound instance may be silent for a second or more and then go on. It counts as failed
 * only after it has missed several probes in a row over a longer time. The number bounds
 * what a daemon that itself ran late concludes from a single probe.
 *
 * @param lastProbeNanos when the last probe that counts was sent
 * @param silentSinceNanos when the first of the missed probes was sent
 * @param missedProbes the number of probes that were missed in a row
 */
record ProbeHistory(long lastProbeNanos, long silentSinceNanos, int missedProbes) {

	/**
	 * Well above the silence of a sound instance, and below the time after which a dead
	 * one is delisted.
	 */
	private static final long SOUND_SILENCE_NANOS = Duration.ofSeconds(2).toNanos();

	/** As many as follow each other in that time. */
	private static final int MIN_MISSED_PROBES = 4;

	/** Probes that are further apart do not show that the instance was silent between. */
	private static final long MAX_PROBE_GAP_NANOS = Duration.ofMillis(1_500).toNanos();

	/**
	 * Creates a history without missed probes.
	 * @param probeNanos the time before which probes do not count
	 * @return the history
	 */
	static ProbeHistory startingAt(long probeNanos) {
		return new ProbeHistory(probeNanos, probeNanos, 0);
	}

	/**
	 * Adds a missed probe. One that is too close to the last, as another group's probe of
	 * the same instance may be, or that was sent before it, does not count.
	 * @param probeNanos when the probe was sent
	 * @param minIntervalNanos the interval between two probes that count
	 * @return the history with the probe
	 */
	ProbeHistory withMissed(long probeNanos, long minIntervalNanos) {
		final long sinceLastNanos = probeNanos - this.lastProbeNanos;
		if (sinceLastNanos <= 0 || (isSilent() && sinceLastNanos < minIntervalNanos)) {
			return this;
		}
		if (!isSilent() || sinceLastNanos > MAX_PROBE_GAP_NANOS) {
			return new ProbeHistory(probeNanos, probeNanos, 1);
		}
		return new ProbeHistory(probeNanos, this.silentSinceNanos, this.missedProbes + 1);
	}

	/**
	 * Removes the missed probes. The result may be that of a probe before the last one,
	 * as rounds can overlap.
	 * @param probeNanos when the probe was sent that shows no failure
	 * @return the history without missed probes
	 */
	ProbeHistory withoutMissed(long probeNanos) {
		return startingAt((probeNanos - this.lastProbeNanos > 0) ? probeNanos : this.lastProbeNanos);
	}

	boolean isSilent() {
		return this.missedProbes > 0;
	}

	boolean isFailed(long nowNanos) {
		return this.missedProbes >= MIN_MISSED_PROBES && nowNanos - this.silentSinceNanos >= SOUND_SILENCE_NANOS;
	}

}
