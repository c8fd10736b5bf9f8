package org.pistachioline.adapters.stream;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.stream.CheckpointCoverage;

/**
 * Tracks which entries the newest whole checkpoint covers, and since when the oldest
 * entry past it exists.
 * <p>
 * It keeps the times of a few entries only; between two of them the earlier one counts,
 * so that a checkpoint comes rather too early than too late.
 */
final class CoverTracker {

	private static final int MAX_TIMES = 64;

	private static final int MAX_UNFINISHED = 4;

	private final Deque<EntryTime> times = new ArrayDeque<>();

	private final Map<String, BitSet> unfinished = new LinkedHashMap<>();

	private long throughOffset = -1;

	void onEntry(long offset, long appendedAtMillis) {
		if (this.times.size() < MAX_TIMES) {
			this.times.addLast(new EntryTime(offset, appendedAtMillis));
		}
		else if (offset - this.times.getLast().offset() >= spacing()) {
			thinOut();
			this.times.addLast(new EntryTime(offset, appendedAtMillis));
		}
	}

	// Spread over all that is uncovered, the samples stay few however long that gets.
	private long spacing() {
		return Math.max(1, (this.times.getLast().offset() - this.times.getFirst().offset()) / MAX_TIMES);
	}

	private void thinOut() {
		final Deque<EntryTime> kept = new ArrayDeque<>();
		boolean keep = true;
		for (final EntryTime time : this.times) {
			if (keep) {
				kept.addLast(time);
			}
			keep = !keep;
		}
		this.times.clear();
		this.times.addAll(kept);
	}

	void onPart(String writer, CheckpointPart part) {
		if (part.parts() < 1 || part.parts() > CheckpointParts.MAX_PARTS || part.part() < 0
				|| part.part() >= part.parts() || part.throughOffset() <= this.throughOffset) {
			return;
		}
		final String key = part.throughOffset() + "/" + part.parts() + "/" + writer;
		final BitSet seen = this.unfinished.computeIfAbsent(key, (name) -> new BitSet());
		seen.set(part.part());
		if (seen.cardinality() == part.parts()) {
			this.unfinished.remove(key);
			coverThrough(part.throughOffset());
		}
		else if (this.unfinished.size() > MAX_UNFINISHED) {
			this.unfinished.remove(this.unfinished.keySet().iterator().next());
		}
	}

	boolean coverThrough(long offset) {
		this.throughOffset = Math.max(this.throughOffset, offset);
		EntryTime before = null;
		while (!this.times.isEmpty() && this.times.getFirst().offset() <= this.throughOffset + 1) {
			before = this.times.removeFirst();
		}
		if (before != null) {
			this.times.addFirst(before);
		}
		return true;
	}

	// A state from a peer is no checkpoint on the log, so only what the peer knew of
	// those
	// on the log counts; otherwise nobody would write the next one in time.
	void restore(CheckpointCoverage cover) {
		this.throughOffset = cover.throughOffset();
		this.unfinished.clear();
		this.times.clear();
		if (cover.oldestUncoveredMillis() > 0) {
			this.times.addLast(new EntryTime(cover.throughOffset() + 1, cover.oldestUncoveredMillis()));
		}
	}

	CheckpointCoverage cover() {
		return new CheckpointCoverage(this.throughOffset,
				this.times.isEmpty() ? 0 : this.times.getFirst().appendedAtMillis());
	}

	private record EntryTime(long offset, long appendedAtMillis) {
	}

}
