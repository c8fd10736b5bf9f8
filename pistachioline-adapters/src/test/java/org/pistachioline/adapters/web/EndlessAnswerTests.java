package org.pistachioline.adapters.web;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EndlessAnswerTests {

	private static final int SENT_BYTES = 4 * 1024 * 1024;

	private static final int PIECE_BYTES = 1_000;

	private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String SOUND = "HTTP/1.1 204 No Content\r\n\r\n";

	private final List<ClientConnection> idle = new ArrayList<>();

	private final ClientConnection connection = new ClientConnection("target:80", this.idle::add);

	private final RecordedAnswer answer = new RecordedAnswer();

	/**
	 * Guards against a server in trouble that keeps a connection, and the request on it,
	 * for as long as it sends bytes that are no answer.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "x", "\r\n", " ", "HTTP/1.1 100 Continue\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" })
	void bytesWithoutEndBeforeAHeadCloseTheConnection(String repeated) {
		assertThat(takenBytes("", repeated)).isLessThan(SENT_BYTES);
		assertFailedOnce();
	}

	/** The same after the beginning of an answer. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\n", CHUNKED_HEAD, CHUNKED_HEAD + "1;a=",
			CHUNKED_HEAD + "0\r\nA: " })
	void bytesWithoutEndInAHeadOrAChunksLineCloseTheConnection(String begun) {
		assertThat(takenBytes(begun, "x: y;z")).isLessThan(SENT_BYTES);
		assertFailedOnce();
	}

	/** The same with complete lines, of which each one is short. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\n", CHUNKED_HEAD + "0\r\n" })
	void fieldsWithoutEndCloseTheConnection(String begun) {
		assertThat(takenBytes(begun, "a: b\r\n")).isLessThan(SENT_BYTES);
		assertFailedOnce();
	}

	// Guards against targets that send so many interim answers that the loop decodes
	// nothing
	// else.
	@Test
	void anAnswerBehindTooManyInterimOnesIsNotTaken() {
		takenBytes("HTTP/1.1 103\r\n\r\n".repeat(HeadSection.MAX_INTERIM_ANSWERS + 1), SOUND);
		assertFailedOnce();
	}

	@Test
	void anAnswerBehindAsManyInterimOnesAsAllowedIsTaken() {
		takenBytes("HTTP/1.1 103\r\n\r\n".repeat(HeadSection.MAX_INTERIM_ANSWERS) + SOUND, " ");
		assertThat(this.answer.failure()).isNull();
		assertThat(this.answer.head().status()).isEqualTo(204);
	}

	private void assertFailedOnce() {
		assertThat(this.answer.ends()).isLessThanOrEqualTo(1);
		assertThat(this.answer.failure()).isNotNull();
		assertThat(this.idle).isEmpty();
	}

	// Returns how many bytes the connection takes before it is closed.
	private int takenBytes(String begun, String repeated) {
		this.connection.begin(new ClientCall(new WebRequest("GET", "/", HeaderFields.of("Host", "shop"), Body.of("")),
				this.answer, this.connection));
		final EmbeddedChannel channel = new EmbeddedChannel(new HttpClientCodec(), this.connection);
		write(channel, begun);
		final String piece = repeated.repeat(PIECE_BYTES / repeated.length());
		int taken = 0;
		while (channel.isOpen() && taken < SENT_BYTES) {
			write(channel, piece);
			taken += piece.length();
		}
		return taken;
	}

	private static void write(EmbeddedChannel channel, String text) {
		channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

}
