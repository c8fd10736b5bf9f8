package org.pistachioline.adapters.stream;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.record.CheckpointPart;

/**
 * Cuts a state into parts below the log's limit on an entry, and puts parts together.
 * <p>
 * Several daemons may write checkpoints at once, and one may die half-way, so parts are
 * kept apart by writer and offset. What is kept is bounded: parts of a checkpoint that is
 * never finished would otherwise stay for ever.
 */
public final class CheckpointParts {

	/** The largest part: a quarter of the log's limit, as parts share entries. */
	public static final int PART_BYTES = 256 * 1024;

	/** The most parts: 64 MiB, sixteen times the state of 1,600 replicas of 32. */
	public static final int MAX_PARTS = 256;

	private static final int MAX_UNFINISHED = 4;

	private final Map<String, CheckpointPart[]> unfinished = new LinkedHashMap<>();

	/**
	 * Cuts a state.
	 * @param throughOffset the last offset folded into it
	 * @param stateBytes the state
	 * @return its parts in order, at least one
	 */
	public static List<CheckpointPart> cut(long throughOffset, byte[] stateBytes) {
		final int parts = Math.max(1, (stateBytes.length + PART_BYTES - 1) / PART_BYTES);
		final List<CheckpointPart> cut = new ArrayList<>();
		for (int part = 0; part < parts; part++) {
			final int from = part * PART_BYTES;
			final int to = Math.min(stateBytes.length, from + PART_BYTES);
			cut.add(new CheckpointPart(throughOffset, part, parts, Arrays.copyOfRange(stateBytes, from, to)));
		}
		return cut;
	}

	/**
	 * Takes a part.
	 * @param writer who wrote it
	 * @param part the part
	 * @return the whole state, once all parts are there
	 */
	public Optional<byte[]> add(String writer, CheckpointPart part) {
		if (part.parts() < 1 || part.parts() > MAX_PARTS || part.part() < 0 || part.part() >= part.parts()) {
			return Optional.empty();
		}
		final String key = part.throughOffset() + "/" + part.parts() + "/" + writer;
		final CheckpointPart[] parts = this.unfinished.computeIfAbsent(key, (name) -> new CheckpointPart[part.parts()]);
		parts[part.part()] = part;
		if (Arrays.stream(parts).anyMatch((there) -> there == null)) {
			dropOldest();
			return Optional.empty();
		}
		this.unfinished.remove(key);
		final ByteArrayOutputStream whole = new ByteArrayOutputStream();
		for (final CheckpointPart there : parts) {
			whole.writeBytes(there.stateBytes());
		}
		return Optional.of(whole.toByteArray());
	}

	/**
	 * Forgets all parts.
	 */
	public void clear() {
		this.unfinished.clear();
	}

	private void dropOldest() {
		if (this.unfinished.size() > MAX_UNFINISHED) {
			this.unfinished.remove(this.unfinished.keySet().iterator().next());
		}
	}

}
