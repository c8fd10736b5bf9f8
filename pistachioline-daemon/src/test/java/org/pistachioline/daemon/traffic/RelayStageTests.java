package org.pistachioline.daemon.traffic;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;

import static org.assertj.core.api.Assertions.assertThat;

class RelayStageTests {

	private static final int TOKENS = 12;

	private static ActorSystem<Void> system;

	@BeforeContainer
	static void start() {
		system = ActorSystems.create("relay-test");
	}

	@AfterContainer
	static void stop() {
		system.terminate();
	}

	// The network cuts an answer into pieces anywhere. Whatever the pieces, the caller
	// gets each token once, in order, and the end mark.
	@Property(seed = "7203", tries = 200, shrinking = ShrinkingMode.OFF)
	void chunkBoundariesDoNotChangeTheResponse(@ForAll long seed) {
		final Relayed relayed = relay(1, 0, randomChunks(new Random(seed), response(1, 0)), false);
		assertThat(relayed.text).isEqualTo(expected(0, TOKENS) + endOfResponse());
		assertThat(relayed.ends).containsExactly("1-1 COMPLETE " + TOKENS);
	}

	// A group dies in the middle of an answer, at any byte. The next attempt goes on from
	// the count that was reported, and the caller sees one answer without a lost or
	// doubled token.
	@Property(seed = "7204", tries = 200, shrinking = ShrinkingMode.OFF)
	void aResponseCutAnywhereIsResumedWithoutALostOrDuplicatedToken(@ForAll long seed) {
		final Random random = new Random(seed);
		final byte[] whole = response(1, 0);
		final byte[] cut = Arrays.copyOf(whole, random.nextInt(whole.length));
		final Relayed first = relay(1, 0, randomChunks(random, cut), random.nextBoolean());
		if (first.end == AttemptOutcome.COMPLETE) {
			assertThat(first.text).isEqualTo(expected(0, TOKENS) + endOfResponse());
			return;
		}
		assertThat(first.end).isEqualTo(AttemptOutcome.BROKEN);
		final Relayed second = relay(2, first.tokens, randomChunks(random, response(2, first.tokens)), false);
		assertThat(first.text + second.text).isEqualTo(expected(0, TOKENS) + endOfResponse());
	}

	// On a connection that was used before, an event of another attempt arrives; or an
	// event comes twice, is left out, or is not one. Another shop's proof must never
	// stand in this answer: what was right is kept, the rest dropped, and it is reported.
	@Property(seed = "7205", tries = 300, shrinking = ShrinkingMode.OFF)
	void onlyTheNextTokenOfTheAttemptIsForwarded(@ForAll long seed) {
		final Random random = new Random(seed);
		final int at = random.nextInt(TOKENS);
		final List<String> events = new ArrayList<>();
		for (int i = 0; i < TOKENS; i++) {
			events.add(token(1, i));
		}
		events.set(at, unexpectedEvent(random, at));
		final Relayed relayed = relay(1, 0, randomChunks(random, join(events).getBytes(StandardCharsets.UTF_8)), false);
		assertThat(relayed.end).isEqualTo(AttemptOutcome.MISMATCHED);
		assertThat(relayed.text).isEqualTo(expected(0, at));
		assertThat(relayed.tokens).isEqualTo(at);
	}

	private static String unexpectedEvent(Random random, int at) {
		return switch (random.nextInt(7)) {
			case 0 -> "id: 99-1:" + at + "\ndata: foreign\n\n";
			case 1 -> token(2, at);
			case 2 -> token(1, at + 1);
			case 3 -> (at > 0) ? token(1, at - 1) : token(1, 7);
			case 4 -> "data: no id\n\n";
			case 5 -> "id: 1-1:\ndata: no position\n\n";
			default -> "id: 1-1:" + at + "\ndata: " + "x".repeat(300 * 1024) + "\n\n";
		};
	}

	private static String token(int attempt, int position) {
		return "id: 1-" + attempt + ":" + position + "\ndata: w" + position + "\n\n";
	}

	private static byte[] response(int attempt, int from) {
		final List<String> events = new ArrayList<>();
		for (int i = from; i < TOKENS; i++) {
			events.add(token(attempt, i));
		}
		events.add("id: 1-" + attempt + ":end\ndata: stop\n\n");
		events.add("data: [DONE]\n\n");
		return join(events).getBytes(StandardCharsets.UTF_8);
	}

	private static String expected(int from, int to) {
		final StringBuilder text = new StringBuilder();
		for (int i = from; i < to; i++) {
			text.append("data: w").append(i).append("\n\n");
		}
		return text.toString();
	}

	private static String endOfResponse() {
		return "data: stop\n\ndata: [DONE]\n\n";
	}

	private static String join(List<String> events) {
		return String.join("", events);
	}

	private static List<ByteString> randomChunks(Random random, byte[] bytes) {
		final List<ByteString> pieces = new ArrayList<>();
		int start = 0;
		while (start < bytes.length) {
			final int end = Math.min(bytes.length, start + 1 + random.nextInt(40));
			pieces.add(ByteString.fromArray(bytes, start, end - start));
			start = end;
		}
		return pieces;
	}

	private static Relayed relay(int attempt, int from, List<ByteString> pieces, boolean fails) {
		final Relayed relayed = new Relayed();
		final Source<ByteString, ?> upstream = fails
				? Source.from(pieces).concat(Source.failed(new IllegalStateException("reset"))) : Source.from(pieces);
		relayed.text = upstream.via(new RelayStage(new AttemptId(1, attempt), from, relayed))
			.runFold(ByteString.emptyByteString(), ByteString::concat, system)
			.toCompletableFuture()
			.join()
			.utf8String();
		return relayed;
	}

	private static final class Relayed implements AttemptListener {

		private final List<String> ends = new ArrayList<>();

		private String text;

		private AttemptOutcome end;

		private int tokens;

		@Override
		public void onProgress(AttemptId attempt, int tokensDelivered) {
			assertThat(this.end).isNull();
		}

		@Override
		public void onEnd(AttemptId attempt, AttemptOutcome how, int tokensDelivered) {
			this.ends.add(attempt.wireForm() + " " + how + " " + tokensDelivered);
			this.end = how;
			this.tokens = tokensDelivered;
		}

	}

}
