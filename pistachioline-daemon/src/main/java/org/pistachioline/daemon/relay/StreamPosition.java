package org.pistachioline.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Tracks how far a caller's stream has been delivered, across all attempts. Not
 * thread-safe.
 */
final class StreamPosition {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	/** The bytes of the longest ending of an event: LF, CR, LF. */
	static final int MAX_EVENT_END_BYTES = 3;

	/** Longer ids may not fit into a long; engines do not assign any. */
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
	 * Returns how many bytes the last call of {@code forwardNewEvents} consumed; the
	 * remaining bytes are the start of an incomplete event.
	 * @return the number of bytes
	 */
	int consumedBytes() {
		return this.consumedBytes;
	}

	/**
	 * Forwards the complete events among the received bytes, except those that the caller
	 * already has by their ids.
	 * @param bytes the received bytes that were not consumed yet
	 * @param receiver receives each event that the caller does not have yet
	 */
	void forwardNewEvents(byte[] bytes, SliceReceiver receiver) {
		int start = 0;
		int end = eventEnd(bytes, start, bytes.length);
		while (end >= 0) {
			if (isNew(bytes, start, end)) {
				receiver.accept(bytes, start, end - start);
				this.deliveredEvents++;
			}
			start = end;
			end = eventEnd(bytes, start, bytes.length);
		}
		this.consumedBytes = start;
	}

	private boolean isNew(byte[] bytes, int start, int end) {
		final String id = eventIdOf(bytes, start, end);
		if (id == null) {
			return true;
		}
		final String lastId = this.lastEventId;
		if (lastId != null && isNumericId(id) && isNumericId(lastId) && Long.parseLong(id) <= Long.parseLong(lastId)) {
			return false;
		}
		this.lastEventId = id;
		return true;
	}

	private static boolean isNumericId(String text) {
		return !text.isEmpty() && text.length() <= MAX_ID_DIGITS && text.chars().allMatch((c) -> c >= '0' && c <= '9');
	}

	private static String eventIdOf(byte[] bytes, int start, int end) {
		int lineStart = start;
		while (lineStart < end) {
			int lineEnd = lineStart;
			while (lineEnd < end && bytes[lineEnd] != '\n' && bytes[lineEnd] != '\r') {
				lineEnd++;
			}
			if (startsWith(bytes, lineStart, lineEnd)) {
				// The target gets the id octet by octet, as it wrote it.
				return new String(bytes, lineStart + ID_FIELD.length, lineEnd - lineStart - ID_FIELD.length,
						StandardCharsets.ISO_8859_1)
					.trim();
			}
			lineStart = lineEnd + 1;
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

	/**
	 * Finds the end of an event. It ends with an empty line; both LF and CRLF line
	 * endings are accepted.
	 * @param bytes the array to search
	 * @param start where the search starts
	 * @param limit where it stops
	 * @return the offset behind the event; -1 if it does not end there
	 */
	static int eventEnd(byte[] bytes, int start, int limit) {
		for (int i = start; i + 1 < limit; i++) {
			if (bytes[i] == '\n' && bytes[i + 1] == '\n') {
				return i + 2;
			}
			if (bytes[i] == '\n' && bytes[i + 1] == '\r' && i + 2 < limit && bytes[i + 2] == '\n') {
				return i + 3;
			}
		}
		return -1;
	}

	/**
	 * Receives a slice of an array that is not modified afterwards.
	 */
	@FunctionalInterface
	interface SliceReceiver {

		/**
		 * Receives a slice.
		 * @param bytes the array
		 * @param offset where the slice starts
		 * @param length its length in bytes
		 */
		void accept(byte[] bytes, int offset, int length);

	}

}
