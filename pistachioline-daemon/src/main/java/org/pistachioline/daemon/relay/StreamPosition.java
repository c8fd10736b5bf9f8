package org.pistachioline.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * How far a caller's stream is, over all attempts. One thread calls it.
 */
final class StreamPosition {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	/** More digits than a long holds are no id of ours. */
	private static final int MAX_ID_DIGITS = 18;

	private String lastEventId;

	private int deliveredEvents;

	private int consumedBytes;

	StreamPosition(Optional<String> lastEventId) {
		this.lastEventId = lastEventId.orElse(null);
	}

	Optional<String> lastEventId() {
		return Optional.ofNullable(this.lastEventId);
	}

	int deliveredEvents() {
		return this.deliveredEvents;
	}

	/**
	 * Returns how many bytes the last call took; the rest is the start of an event.
	 * @return the number of bytes
	 */
	int consumedBytes() {
		return this.consumedBytes;
	}

	/**
	 * Takes the whole events out of what has arrived.
	 * @param bytes what has arrived and was not taken yet
	 * @param receiver takes the events that the caller does not have yet
	 */
	void forwardNewEvents(byte[] bytes, SliceReceiver receiver) {
		int start = 0;
		int end = eventEnd(bytes, start);
		while (end >= 0) {
			if (isNew(bytes, start, end)) {
				receiver.accept(bytes, start, end - start);
				this.deliveredEvents++;
			}
			start = end;
			end = eventEnd(bytes, start);
		}
		this.consumedBytes = start;
	}

	private boolean isNew(byte[] bytes, int start, int end) {
		final String id = eventIdOf(bytes, start, end);
		if (id == null) {
			return true;
		}
		final String last = this.lastEventId;
		if (last != null && isNumericId(id) && isNumericId(last) && Long.parseLong(id) <= Long.parseLong(last)) {
			return false;
		}
		this.lastEventId = id;
		return true;
	}

	private static boolean isNumericId(String text) {
		return !text.isEmpty() && text.length() <= MAX_ID_DIGITS && text.chars().allMatch((c) -> c >= '0' && c <= '9');
	}

	private static String eventIdOf(byte[] bytes, int start, int end) {
		int line = start;
		while (line < end) {
			int lineEnd = line;
			while (lineEnd < end && bytes[lineEnd] != '\n' && bytes[lineEnd] != '\r') {
				lineEnd++;
			}
			if (startsWith(bytes, line, lineEnd)) {
				return new String(bytes, line + ID_FIELD.length, lineEnd - line - ID_FIELD.length,
						StandardCharsets.US_ASCII)
					.trim();
			}
			line = lineEnd + 1;
		}
		return null;
	}

	private static boolean startsWith(byte[] bytes, int start, int end) {
		if (end - start < ID_FIELD.length) {
			return false;
		}
		for (int i = 0; i < ID_FIELD.length; i++) {
			if (bytes[start + i] != ID_FIELD[i]) {
				return false;
			}
		}
		return true;
	}

	// An event ends with an empty line, whichever line ends its sender uses.
	private static int eventEnd(byte[] bytes, int start) {
		for (int i = start; i + 1 < bytes.length; i++) {
			if (bytes[i] == '\n' && bytes[i + 1] == '\n') {
				return i + 2;
			}
			if (bytes[i] == '\n' && bytes[i + 1] == '\r' && i + 2 < bytes.length && bytes[i + 2] == '\n') {
				return i + 3;
			}
		}
		return -1;
	}

	/**
	 * Takes a part of an array that does not change any more.
	 */
	@FunctionalInterface
	interface SliceReceiver {

		/**
		 * Takes a part.
		 * @param bytes the array
		 * @param offset where the part begins
		 * @param length its length in bytes
		 */
		void accept(byte[] bytes, int offset, int length);

	}

}
