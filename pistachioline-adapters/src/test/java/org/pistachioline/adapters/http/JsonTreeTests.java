package org.pistachioline.adapters.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.FutureTask;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.text.TextBounds;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class JsonTreeTests {

	private static final String EVERY_KIND = "{\"text\":\"a\\\"\\u00e9\\n\",\"yes\":true,\"no\":false,\"none\":null,"
			+ "\"whole\":-7,\"long\":1764744633000,\"huge\":123456789012345678901234567890,\"part\":0.25,"
			+ "\"list\":[1,[],{}],\"object\":{\"inner\":[\"x\"]}}";

	/** As large as the stacks of the daemon's threads. */
	private static final int SMALL_STACK_BYTES = 256 * 1024;

	private static JsonNode read(String json) throws IOException {
		return JsonTree.read(json.getBytes(StandardCharsets.UTF_8));
	}

	@Test
	void aTreeIsTheOneThatAMapperReads() throws IOException {
		assertThat(read(EVERY_KIND)).isEqualTo(Json.tree(EVERY_KIND.getBytes(StandardCharsets.UTF_8)));
	}

	@Test
	void whatIsWrittenIsReadAgain() throws IOException {
		assertThat(read(JsonTree.write(read(EVERY_KIND)))).isEqualTo(read(EVERY_KIND));
	}

	@Test
	void anEmptyTextIsAMissingNode() throws IOException {
		assertThat(read("").isMissingNode()).isTrue();
	}

	/**
	 * A message is cut off on its way. Taken for whole, it would show a daemon half of
	 * its routes.
	 */
	@Test
	void aTextThatIsCutOffIsRefused() {
		for (int length = 1; length < EVERY_KIND.length(); length++) {
			final String cut = EVERY_KIND.substring(0, length);
			assertThatExceptionOfType(IOException.class).as(cut).isThrownBy(() -> read(cut));
		}
	}

	/**
	 * Guards against a process that ends with an error on one deeply nested text, which
	 * exhausts the small stack of its thread.
	 * @throws Exception if the thread fails
	 */
	@Test
	void aTextThatIsNestedTooDeeplyIsRefusedOnASmallStack() throws Exception {
		for (final int depth : new int[] { TextBounds.MAX_DEPTH + 1, 990, 200_000 }) {
			assertThat(failureOnSmallStack("[".repeat(depth) + "]".repeat(depth))).as("arrays, " + depth)
				.isInstanceOf(IOException.class);
			assertThat(failureOnSmallStack("{\"x\":".repeat(depth) + "1" + "}".repeat(depth))).as("objects, " + depth)
				.isInstanceOf(IOException.class);
		}
		assertThat(failureOnSmallStack("[".repeat(TextBounds.MAX_DEPTH) + "]".repeat(TextBounds.MAX_DEPTH))).isNull();
	}

	private static Throwable failureOnSmallStack(String json) throws Exception {
		final FutureTask<Throwable> task = new FutureTask<>(() -> {
			try {
				JsonTree.write(read(json));
				return null;
			}
			catch (IOException | StackOverflowError ex) {
				return ex;
			}
		});
		new Thread(null, task, "small-stack", SMALL_STACK_BYTES).start();
		return task.get();
	}

	@Test
	void theMapperHasTheSameBounds() {
		final int depth = TextBounds.MAX_DEPTH + 1;
		final String nested = "[".repeat(depth) + "]".repeat(depth);
		assertThatExceptionOfType(UncheckedIOException.class)
			.isThrownBy(() -> Json.tree(nested.getBytes(StandardCharsets.UTF_8)));
	}

	/**
	 * Guards against numbers whose conversion takes more time the more digits they have.
	 * @throws IOException if a number within the bound is refused
	 */
	@Test
	void aNumberOfTooManyDigitsIsRefused() throws IOException {
		assertThatExceptionOfType(IOException.class)
			.isThrownBy(() -> read("[" + "9".repeat(TextBounds.MAX_NUMBER_CHARACTERS + 1) + "]"));
		assertThatExceptionOfType(IOException.class)
			.isThrownBy(() -> read("[0." + "9".repeat(TextBounds.MAX_NUMBER_CHARACTERS) + "]"));
		assertThat(read("[" + "9".repeat(TextBounds.MAX_NUMBER_CHARACTERS) + "]").get(0).isIntegralNumber()).isTrue();
		assertThat(read("[1e999999999]").get(0).doubleValue()).isInfinite();
	}

	/**
	 * Guards against a short text that takes many times its size in memory, because it
	 * holds hundreds of thousands of tiny values.
	 * @throws IOException if a text within the bound is refused
	 */
	@Test
	void aTextOfTooManyValuesIsRefused() throws IOException {
		assertThatExceptionOfType(IOException.class)
			.isThrownBy(() -> read("[" + "[],".repeat(JsonTree.MAX_VALUES) + "1]"));
		assertThatExceptionOfType(IOException.class)
			.isThrownBy(() -> read("[" + "1,".repeat(JsonTree.MAX_VALUES) + "1]"));
		assertThat(read("[" + "1,".repeat(JsonTree.MAX_VALUES - 2) + "1]")).hasSize(JsonTree.MAX_VALUES - 1);
	}

	/**
	 * Guards against a text that takes the memory of all other work.
	 * @throws IOException if a text within the bound is refused
	 */
	@Test
	void aTextOfTooManyBytesIsRefused() throws IOException {
		final String longText = "\"" + "a".repeat(JsonTree.MAX_BYTES - 2) + "\"";
		assertThat(read(longText).textValue()).hasSize(JsonTree.MAX_BYTES - 2);
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> read(longText + " "));
	}

	/**
	 * Guards against a bound that refuses a large configuration.
	 * @throws IOException if it is refused
	 */
	@Test
	void aConfigurationOfThousandsOfRoutesIsRead() throws IOException {
		final String route = "{\"Name\":\"a\",\"Backends\":[{\"Service\":\"b\",\"Weight\":1},{\"Service\":\"c\"}],"
				+ "\"TimeoutMs\":1000,\"Priority\":1,\"MaxAttempts\":3},";
		assertThat(read("{\"Routes\":[" + route.repeat(5_000) + "{}]}").path("Routes")).hasSize(5_001);
	}

}
