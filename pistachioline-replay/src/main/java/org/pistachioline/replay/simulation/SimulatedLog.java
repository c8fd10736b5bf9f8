package org.pistachioline.replay.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.pistachioline.core.traffic.ClaimVerdict;
import org.pistachioline.replay.trace.HeaderLine;

/**
 * A fake of the claims on the platform's log: the first claim of a key in order wins.
 */
final class SimulatedLog {

	private static final double UNREACHABLE_MILLIS = 500;

	private final EventQueue events;

	private final HeaderLine header;

	private final UniformRandomProvider random;

	private final Map<String, Entry> entries = new HashMap<>();

	private boolean out;

	private long nextOffset;

	SimulatedLog(EventQueue events, HeaderLine header) {
		this.events = events;
		this.header = header;
		this.random = RandomSource.SPLIT_MIX_64.create(header.seed());
	}

	void out(boolean now) {
		this.out = now;
	}

	void claim(Submission submission, Consumer<Verdict> answer) {
		if (this.out) {
			this.events.afterMillis(UNREACHABLE_MILLIS, () -> answer.accept(new Verdict(ClaimVerdict.UNAVAILABLE, -1)));
			return;
		}
		this.events.afterMillis(this.header.logLatencyMillis(), () -> {
			final Verdict verdict = append(submission);
			// An answer that is lost is found by reading on: later, but never wrong.
			final boolean lost = this.random.nextDouble() < this.header.logLostAnswerRatio();
			this.events.afterMillis(lost ? this.header.logLostAnswerMillis() : 0, () -> answer.accept(verdict));
		});
	}

	private Verdict append(Submission submission) {
		final Entry entry = this.entries.get(submission.info.claim().keyHash());
		if (entry == null) {
			this.entries.put(submission.info.claim().keyHash(), new Entry(this.nextOffset, ClaimVerdict.IN_PROGRESS));
			return new Verdict(ClaimVerdict.GRANTED, this.nextOffset++);
		}
		return new Verdict(entry.state(), -1);
	}

	void settle(Submission submission, ClaimVerdict state) {
		this.entries.computeIfPresent(submission.info.claim().keyHash(),
				(key, entry) -> new Entry(entry.offset(), state));
	}

	void release(String keyHash, long offset) {
		this.entries.computeIfPresent(keyHash, (key, entry) -> (entry.offset() == offset) ? null : entry);
	}

	/**
	 * The answer to a claim.
	 *
	 * @param verdict the verdict
	 * @param offset the claim's offset; -1 where it was not granted
	 */
	record Verdict(ClaimVerdict verdict, long offset) {
	}

	private record Entry(long offset, ClaimVerdict state) {
	}

}
