package org.pistachioline.e2e;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

import org.pistachioline.adapters.http.Json;
import org.pistachioline.standins.local.LocalDaemon;
import org.pistachioline.standins.local.LocalHttp;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * One streamed completion as its caller reads it.
 */
final class CallerStream {

	private static final String DATA = "data: ";

	/** Enough to see an error event, or the last tokens. */
	private static final int SHOWN_TEXT_CHARS = 200;

	private final HttpResponse<InputStream> response;

	private final BufferedReader reader;

	private final StringBuilder text = new StringBuilder();

	private String lastLine = "";

	private CallerStream(HttpResponse<InputStream> response) {
		this.response = response;
		this.reader = new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8));
	}

	/**
	 * Sends a completion and gives its answer as soon as the head is there.
	 * @param daemon where it is sent
	 * @param maxTokens how many tokens are asked for
	 * @return the open stream
	 * @throws Exception if no head comes
	 */
	static CallerStream open(LocalDaemon daemon, int maxTokens) throws Exception {
		final HttpRequest request = LocalHttp.request(daemon.callers(), "/v1/chat/completions")
			.header("Authorization", TestSystem.KEY)
			.POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"sign-copy\",\"stream\":true,\"max_tokens\":"
					+ maxTokens + ",\"messages\":[{\"role\":\"user\",\"content\":\"A sign for a bakery\"}]}"))
			.build();
		return new CallerStream(LocalHttp.CLIENT.send(request, HttpResponse.BodyHandlers.ofInputStream()));
	}

	/**
	 * Returns the text that the engine stand-in gives for a number of tokens.
	 * @param tokens the number of tokens
	 * @return the text
	 */
	static String whole(int tokens) {
		final StringBuilder whole = new StringBuilder();
		for (int i = 0; i < tokens; i++) {
			whole.append(" w").append(i);
		}
		return whole.toString();
	}

	int status() {
		return this.response.statusCode();
	}

	/**
	 * Reads until some tokens have come. A stream that ends in order before is no stream
	 * on which a test can build, and fails it.
	 * @param tokens the number of tokens
	 * @throws IOException if the stream breaks before
	 */
	void awaitTokens(int tokens) throws IOException {
		final String wanted = whole(tokens);
		while (!this.text.toString().startsWith(wanted)) {
			assertThat(readEvent()).as("%d tokens before the end of %s", tokens, describe()).isTrue();
		}
	}

	/**
	 * Reads to the end.
	 * @return the whole text, then the last event's data
	 * @throws IOException if the stream breaks
	 */
	String readToEnd() throws IOException {
		while (readEvent()) {
			continue;
		}
		return this.text.toString();
	}

	/**
	 * Returns what the caller has received, for the message of a test that fails.
	 * @return status, header fields, last line, and number and end of the characters of
	 * the text
	 */
	String describe() {
		return "status " + this.response.statusCode() + ", " + this.response.version() + ", "
				+ this.response.headers().map() + ", last line '" + this.lastLine + "', text of " + this.text.length()
				+ " characters ending '" + this.text.substring(Math.max(0, this.text.length() - SHOWN_TEXT_CHARS))
				+ "'";
	}

	private boolean readEvent() throws IOException {
		final String line = this.reader.readLine();
		if (line == null) {
			return false;
		}
		this.lastLine = line.isEmpty() ? this.lastLine : line;
		if (line.startsWith(DATA + "{")) {
			this.text.append(Json.tree(line.substring(DATA.length()).getBytes(StandardCharsets.UTF_8))
				.path("choices")
				.path(0)
				.path("delta")
				.path("content")
				.asText(""));
		}
		else if (line.startsWith(DATA)) {
			this.text.append('|').append(line.substring(DATA.length()));
		}
		return true;
	}

}
