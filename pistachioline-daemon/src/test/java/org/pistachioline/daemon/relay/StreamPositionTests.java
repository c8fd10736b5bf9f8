package org.pistachioline.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StreamPositionTests {

	@Test
	void onlyCompleteEventsAreForwarded() {
		final StreamPosition position = new StreamPosition(Optional.empty());
		final String passed = forward(position, bytes("id: 1\ndata: a\n\nid: 2\nda"));
		assertThat(passed).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(position.consumedBytes()).isEqualTo(passed.length());
		assertThat(position.lastEventId()).contains("1");
		assertThat(position.deliveredEvents()).isEqualTo(1);
	}

	/**
	 * Guards against events that the caller receives twice: a stream is resumed at
	 * another target, which starts one event too early.
	 */
	@Test
	void eventsAlreadyDeliveredAreDropped() {
		final StreamPosition position = new StreamPosition(Optional.of("7"));
		assertThat(forward(position, bytes("id: 7\ndata: g\n\nid: 8\ndata: h\n\n"))).isEqualTo("id: 8\ndata: h\n\n");
		assertThat(position.deliveredEvents()).isEqualTo(1);
	}

	// Guards against a stream that no target can continue, as it does not know the id.
	@Test
	void anIdThatIsNotAsciiIsKeptWithACharacterForEachOctet() {
		final StreamPosition position = new StreamPosition(Optional.empty());
		forward(position, bytes("id: \u6bb5-3\ndata: a\n\n"));
		assertThat(position.lastEventId().map((id) -> id.getBytes(StandardCharsets.ISO_8859_1)))
			.hasValueSatisfying((octets) -> assertThat(octets).isEqualTo(bytes("\u6bb5-3")));
	}

	@Test
	void eventsWithoutAnIdAreForwardedUnchanged() {
		final StreamPosition position = new StreamPosition(Optional.empty());
		assertThat(forward(position, bytes("data: a\n\n: note\n\n"))).isEqualTo("data: a\n\n: note\n\n");
	}

	@Test
	void bothKindsOfLineEndingsAreParsed() {
		final StreamPosition position = new StreamPosition(Optional.empty());
		assertThat(forward(position, bytes("id: 3\r\ndata: a\r\n\r\n"))).isEqualTo("id: 3\r\ndata: a\r\n\r\n");
		assertThat(position.lastEventId()).contains("3");
	}

	/**
	 * Guards against output that depends on how the network splits the stream into
	 * chunks.
	 * @param events the number of events
	 * @param chunkBytes the size of the chunks
	 */
	@Property(seed = "42")
	void chunkBoundariesDoNotChangeTheOutput(@ForAll @IntRange(min = 0, max = 20) int events,
			@ForAll @IntRange(min = 1, max = 9) int chunkBytes) {
		final StringBuilder stream = new StringBuilder();
		for (int i = 1; i <= events; i++) {
			stream.append("id: ").append(i).append("\ndata: ").append("x".repeat(i % 7)).append("\n\n");
		}
		final byte[] all = bytes(stream.toString());
		final StreamPosition position = new StreamPosition(Optional.empty());
		final ByteArrayOutputStream passed = new ByteArrayOutputStream();
		byte[] rest = new byte[0];
		for (int start = 0; start < all.length; start += chunkBytes) {
			final byte[] chunk = Arrays.copyOfRange(all, start, Math.min(all.length, start + chunkBytes));
			final byte[] joined = Arrays.copyOf(rest, rest.length + chunk.length);
			System.arraycopy(chunk, 0, joined, rest.length, chunk.length);
			position.forwardNewEvents(joined, passed::write);
			rest = Arrays.copyOfRange(joined, position.consumedBytes(), joined.length);
		}
		assertThat(passed.toString(StandardCharsets.UTF_8)).isEqualTo(stream.toString());
		assertThat(position.deliveredEvents()).isEqualTo(events);
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static String forward(StreamPosition position, byte[] bytes) {
		final ByteArrayOutputStream passed = new ByteArrayOutputStream();
		position.forwardNewEvents(bytes, passed::write);
		return passed.toString(StandardCharsets.UTF_8);
	}

}
