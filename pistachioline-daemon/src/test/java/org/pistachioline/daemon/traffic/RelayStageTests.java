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

	// The network splits a response into chunks at any byte. For every split, the caller
	// must receive each token once, in order, and the end marker.
	@Property(seed = "7203", tries = 200, shrinking = ShrinkingMode.OFF)
	void chunkBoundariesDoNotChangeTheResponse(@ForAll long seed) {
		final Relayed relayed = relay(1, 0, randomChunks(new Random(seed), response(1, 0)), false);
		assertThat(relayed.text).isEqualTo(expected(0, TOKENS) + endOfResponse());
		assertThat(relayed.ends).containsExactly("1-1 COMPLETE " + TOKENS);
	}

	// A group crashes in the middle of a response, at any byte. The next attempt resumes
	// from the reported count, and the caller must receive one response without a lost or
	// duplicated token.
	@Property(seed = "7204", tries = 200, shrinking = ShrinkingMode.OFF)
	void aResponseCutAnywhereIsResumedWithoutALostOrDuplicatedToken(@ForAll long seed) {
		final Random random = new Random(seed);
		final byte[] complete = response(1, 0);
		final byte[] cut = Arrays.copyOf(complete, random.nextInt(complete.length));
		final Relayed first = relay(1, 0, randomChunks(random, cut), random.nextBoolean());
		if (first.end == AttemptOutcome.COMPLETE) {
			assertThat(first.text).isEqualTo(expected(0, TOKENS) + endOfResponse());
			return;
		}
		assertThat(first.end).isEqualTo(AttemptOutcome.BROKEN);
		final Relayed second = relay(2, first.tokens, randomChunks(random, response(2, first.tokens)), false);
		assertThat(first.text + second.text).isEqualTo(expected(0, TOKENS) + endOfResponse());
	}

	// On a reused connection an event of another attempt arrives, or an event is
	// duplicated, missing or malformed. No such event may reach the caller: the events
	// before it are kept, the rest is dropped, and the attempt ends as mismatched.
	@Property(seed = "7205", tries = 300, shrinking = ShrinkingMode.OFF)
	void onlyTheNextTokenOfTheAttemptIsForwarded(@ForAll long seed) {
		final Random random = new Random(seed);
		final int position = random.nextInt(TOKENS);
		final List<String> events = new ArrayList<>();
		for (int i = 0; i < TOKENS; i++) {
			events.add(token(1, i));
		}
		events.set(position, unexpectedEvent(random, position));
		final Relayed relayed = relay(1, 0, randomChunks(random, join(events).getBytes(StandardCharsets.UTF_8)), false);
		assertThat(relayed.end).isEqualTo(AttemptOutcome.MISMATCHED);
		assertThat(relayed.text).isEqualTo(expected(0, position));
		assertThat(relayed.tokens).isEqualTo(position);
	}

	private static String unexpectedEvent(Random random, int position) {
		return switch (random.nextInt(7)) {
			case 0 -> "id: 99-1:" + position + "\ndata: foreign\n\n";
			case 1 -> token(2, position);
			case 2 -> token(1, position + 1);
			case 3 -> (position > 0) ? token(1, position - 1) : token(1, 7);
			case 4 -> "data: no id\n\n";
			case 5 -> "id: 1-1:\ndata: no position\n\n";
			default -> "id: 1-1:" + position + "\ndata: " + "x".repeat(300 * 1024) + "\n\n";
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
		final List<ByteString> chunks = new ArrayList<>();
		int start = 0;
		while (start < bytes.length) {
			final int end = Math.min(bytes.length, start + 1 + random.nextInt(40));
			chunks.add(ByteString.fromArray(bytes, start, end - start));
			start = end;
		}
		return chunks;
	}

	private static Relayed relay(int attempt, int from, List<ByteString> chunks, boolean fails) {
		final Relayed relayed = new Relayed();
		final Source<ByteString, ?> upstream = fails
				? Source.from(chunks).concat(Source.failed(new IllegalStateException("reset"))) : Source.from(chunks);
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
		public void onEnd(AttemptId attempt, AttemptOutcome outcome, int tokensDelivered) {
			this.ends.add(attempt.wireForm() + " " + outcome + " " + tokensDelivered);
			this.end = outcome;
			this.tokens = tokensDelivered;
		}

	}

}
