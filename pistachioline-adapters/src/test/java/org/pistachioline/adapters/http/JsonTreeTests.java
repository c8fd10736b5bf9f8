package org.pistachioline.adapters.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class JsonTreeTests {

	private static final String EVERY_KIND = "{\"text\":\"a\\\"\\u00e9\\n\",\"yes\":true,\"no\":false,\"none\":null,"
			+ "\"whole\":-7,\"long\":1764744633000,\"huge\":123456789012345678901234567890,\"part\":0.25,"
			+ "\"list\":[1,[],{}],\"object\":{\"inner\":[\"x\"]}}";

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

}
