package org.pistachioline.adapters.web;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests answers that break the grammar of HTTP, and rare ones that keep to it.
 */
class MalformedAnswerTests {

	private static final String BODY = "0123456789abcdef";

	private static final String FRAMED = "Content-Length: 16\r\n\r\n" + BODY;

	private static final String SOUND = "HTTP/1.1 200 OK\r\n" + FRAMED;

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String FOLDED = " x\r\n";

	/** Each cuts the bytes elsewhere. */
	private static final List<Integer> PIECE_SIZES = List.of(1, 7, 1_000);

	// Guards against a number that is no status and is passed on as one.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
			"HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK",
			"HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 20x OK", "HTTP/1.1 2 00 OK", "HTTP/1.1 OK", "HTTP/1.1",
			"HTTP/1.1 ", "HTTP/1.1200 OK", "HTTP/1.1 200OK", "HTTP/1.1 \u00b2\u00b2\u00b2 OK" })
	void aStatusThatIsNoneIsNotTaken(String statusLine) {
		assertNotTaken(AnswerPart.STATUS_LINE, statusLine + "\r\n" + FRAMED);
	}

	// Guards against bytes of another protocol that are taken for an answer.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.x 200 OK", "HTTP/1.10 200 OK",
			"http/1.1 200 OK", "RTSP/1.0 200 OK", "ICY 200 OK", " HTTP/1.1 200 OK", "\u0000HTTP/1.1 200 OK",
			"HTTP/1.1\u000b200 OK", "HTTP/1.1 200\u0000OK", "HTTP/1.1 200 O\u0001K", "HTTP/1.1 200 OK\u007f",
			"HTTP/1.1 200 OK\rX" })
	void aStatusLineThatIsNoneIsNotTaken(String statusLine) {
		assertNotTaken(AnswerPart.STATUS_LINE, statusLine + "\r\n" + FRAMED);
	}

	// Guards against a name that is cut at its blank and taken for another one, so that
	// the answer has another end, or another meaning, than its server gave it.
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length x: 4", "Transfer-Encoding x: chunked", "X-A b: 1", "X-A\tb: 1", "X-A : 1",
			"X-A\t: 1", " X-A: 1", "\tX-A: 1", ": 1", "X-A", "X-A b", "X(A): 1", "X/A: 1", "\"X\": 1" })
	void aFieldNameThatIsNoneIsNotTaken(String line) {
		assertNotTaken(AnswerPart.FIELD_NAME, "HTTP/1.1 200 OK\r\nId: 7\r\n" + line + "\r\n" + FRAMED);
		assertNotTaken(AnswerPart.FIELD_NAME, "HTTP/1.1 500 Failed\r\n" + line + "\r\n\r\n" + BODY);
	}

	// Guards against the same with bytes that no reader of a log would see.
	@ParameterizedTest
	@ValueSource(chars = { 0x00, 0x01, 0x0b, 0x0c, 0x0d, 0x1f, 0x7f, 0x80, 0xa0, 0xe9, 0xff })
	void aFieldNameWithAControlByteOrAByteOutsideAsciiIsNotTaken(char odd) {
		for (final String line : List.of("X" + odd + "A: 1", odd + "XA: 1", "XA" + odd + ": 1")) {
			assertNotTaken(AnswerPart.FIELD_NAME, "HTTP/1.1 200 OK\r\n" + line + "\r\n" + FRAMED);
		}
	}

	// Guards against bytes that end a line or a text for some reader behind this one.
	@ParameterizedTest
	@ValueSource(chars = { 0x00, 0x01, 0x0b, 0x0c, 0x0d, 0x1f, 0x7f })
	void aFieldValueWithAControlByteIsNotTaken(char odd) {
		for (final String line : List.of("X-A: a" + odd + "b", "X-A:" + odd + "a", "X-A: a" + odd)) {
			assertNotTaken(AnswerPart.FIELD_VALUE, "HTTP/1.1 200 OK\r\n" + line + "\r\n" + FRAMED);
		}
	}

	// Guards against a body that callers get in a coding of which they are not told, such
	// as with the sizes of its chunks.
	@ParameterizedTest
	@ValueSource(
			strings = { "xchunked", "chunked x", "chun ked", "gzip, chunked", "gzip", "identity, chunked", "\u00e9" })
	void aBodyInATransferCodingThatNobodyAskedForIsNotTaken(String coding) {
		assertNotTaken(AnswerPart.FIELD_VALUE,
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n10\r\n" + BODY + "\r\n0\r\n\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "chunked\r\n\r\n10\r\n" + BODY + "\r\n0\r\n\r\n",
			"CHUNKED\r\n\r\n10\r\n" + BODY + "\r\n0\r\n\r\n", "identity\r\n" + FRAMED })
	void aBodyInChunksOrInNoCodingIsTaken(String codingAndBody) {
		final Exchange exchange = new Exchange();
		exchange.receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codingAndBody);
		exchange.assertTaken(BODY);
	}

	// Guards against folded lines that keep the loop busy, so that sound requests time
	// out: the codec copies all lines before each one.
	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1 100 Continue\r\n\r\n", "\r\n" })
	void aHeadOfThousandsOfFoldedLinesIsNotDecoded(String before) {
		assertNotTaken(AnswerPart.FIELD_NAME, before + "HTTP/1.1 200 OK\r\na:b\r\n" + FOLDED.repeat(1_500));
	}

	// Guards against a broken line of an interim answer, after which the answer is taken.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 103 Early Hints\r\nLink x: a\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\nA: 1\r\n Link: a\r\n\r\n" })
	void anAnswerBehindAnInterimOneWithABrokenFieldIsNotTaken(String interim) {
		assertNotTaken(AnswerPart.FIELD_NAME, interim + SOUND);
	}

	// Guards against the same where the interim answer's first line is broken.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 099 Odd\r\n\r\n", "HTTP/1.1 103 O\u0000K\r\n\r\n", "HTTP/1.1 10\r\n\r\n" })
	void anAnswerBehindAnInterimOneWithABrokenStatusLineIsNotTaken(String interim) {
		assertNotTaken(AnswerPart.STATUS_LINE, interim + SOUND);
	}

	// Guards against the size of a chunk that is read as another one, which cuts the
	// body,
	// and against bytes of a chunk that are dropped since its size is too small.
	@ParameterizedTest
	@ValueSource(strings = { "4 4\r\n0123", "4x\r\n0123", " 4\r\n0123", "+4\r\n0123", "-4\r\n0123", "0x4\r\n0123",
			"4 \r\n0123", ";a\r\n0123", "100000004\r\n0123", "\r\n4\r\n0123", "4;a\u0000\r\n0123", "4\r\n" + BODY,
			"4\r\n0123 ", "4\r\n0123\r" })
	void aChunkThatIsNoneEndsTheAnswer(String chunk) {
		assertFails(AnswerPart.CHUNK, CHUNKED + chunk + "\r\n0\r\n\r\n");
	}

	// Guards against an answer that is taken for whole though its end is broken.
	@ParameterizedTest
	@ValueSource(strings = { "X-A b: 1", "X-A : 1", " X-A: 1", "X\u0001: 1", "X-A: \u0001", "X-A", ": 1" })
	void aTrailerThatIsNoneEndsTheAnswer(String trailer) {
		assertFails(AnswerPart.TRAILER, CHUNKED + "4\r\n0123\r\n0\r\nA: 1\r\n" + trailer + "\r\n\r\n");
	}

	// Guards against a broken line that passes since it arrives in pieces, on a
	// connection that has carried a sound answer.
	@Property(seed = "77", tries = 300)
	void cutsHideNothing(@ForAll @IntRange(min = 1, max = 80) int size, @ForAll @IntRange(min = 0, max = 6) int row) {
		final List<String> broken = List.of("HTTP/1.1 000 OK\r\n" + FRAMED,
				"HTTP/1.1 200 OK\r\nContent-Length x: 4\r\n" + FRAMED, "HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n" + FRAMED,
				"HTTP/1.1 103 Hints\r\nLink b: a\r\n\r\n" + SOUND, CHUNKED + "4 4\r\n0123\r\n0\r\n\r\n",
				CHUNKED + "4\r\n01234\r\n0\r\n\r\n", CHUNKED + "4\r\n0123\r\n0\r\nA b: 1\r\n\r\n");
		final List<AnswerPart> parts = List.of(AnswerPart.STATUS_LINE, AnswerPart.FIELD_NAME, AnswerPart.FIELD_NAME,
				AnswerPart.FIELD_NAME, AnswerPart.CHUNK, AnswerPart.CHUNK, AnswerPart.TRAILER);
		final Exchange second = new Exchange();
		second.receive(SOUND);
		assertThat(second.idle).hasSize(1);
		second.begin();
		second.receiveInPieces(broken.get(row), size);
		second.assertMalformed(parts.get(row));
		assertThat(second.idle).hasSize(1);
	}

	// Guards against sound answers that are lost since they are rare.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1  200\tOK", "HTTP/1.0 200 OK",
			"HTTP/1.1 200 \u00e9\u00ff ok", "HTTP/1.1 200 OK\r\nX-A:", "HTTP/1.1 200 OK\r\nX-A:  \t",
			"HTTP/1.1 200 OK\r\nX-A: \t b c \t", "HTTP/1.1 200 OK\r\nX-A: \u00e9\u00ff", "HTTP/1.1 200 OK\r\nX-A:1",
			"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_|~`: 1", "\r\nHTTP/1.1 200 OK",
			"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103\r\n\r\nHTTP/1.1 200 OK" })
	void aRareAnswerThatKeepsToTheGrammarIsTaken(String head) {
		for (final int size : PIECE_SIZES) {
			final Exchange exchange = new Exchange();
			exchange.receiveInPieces(head + "\r\n" + FRAMED, size);
			exchange.assertTaken(BODY);
		}
	}

	// Guards against a line that ends for one reader and goes on for another.
	@ParameterizedTest
	@ValueSource(
			strings = { "HTTP/1.1 200 OK\nX-A: 1\r\n", "HTTP/1.1 200 OK\r\nX-A: 1\n", "HTTP/1.1 200 OK\nX-A: 1\n" })
	void aLineFeedAloneEndsNoLineOfAHead(String head) {
		final Exchange exchange = new Exchange();
		exchange.receive(head + FRAMED);
		assertThat(exchange.answer.failure()).isNotNull();
		assertThat(exchange.answer.head()).isNull();
		assertThat(exchange.channel.isOpen()).isFalse();
	}

	// Guards against a status that is lost since it is at the end of its range.
	@ParameterizedTest
	@ValueSource(ints = { 200, 204, 299, 304, 399, 400, 499, 500, 599 })
	void eachStatusInItsRangeIsTaken(int status) {
		final Exchange exchange = new Exchange();
		exchange.receive("HTTP/1.1 " + status + " Answer\r\nContent-Length: 0\r\n\r\n");
		assertThat(exchange.answer.head().status()).isEqualTo(status);
		assertThat(exchange.answer.failure()).isNull();
		assertThat(exchange.idle).hasSize(1);
	}

	// Guards against sound bodies that are lost since their chunks are rare.
	@ParameterizedTest
	@ValueSource(strings = { "10\r\n" + BODY + "\r\n0\r\n\r\n", "00000010\r\n" + BODY + "\r\n000\r\n\r\n",
			"10;a=b;c=\"d e\"\r\n" + BODY + "\r\n0;e\r\n\r\n", "10 ; a\r\n" + BODY + "\r\n0\r\n\r\n",
			"A\r\n0123456789\r\n6\r\nabcdef\r\n0\r\n\r\n", "10\r\n" + BODY + "\r\n0\r\nDigest: a\r\nX-B:\r\n\r\n" })
	void aRareBodyThatKeepsToTheGrammarIsTaken(String chunks) {
		for (final int size : PIECE_SIZES) {
			final Exchange exchange = new Exchange();
			exchange.receiveInPieces(CHUNKED + chunks, size);
			exchange.assertTaken(BODY);
			assertThat(exchange.idle).hasSize(1);
		}
	}

	// Guards against bytes of a body that are judged as lines.
	@Test
	void linesOfABodyAreNotJudged() {
		final String lines = (FOLDED + "HTTP/1.1 000\r\n\r\n").repeat(1_500);
		final Exchange exchange = new Exchange();
		exchange.receive("HTTP/1.1 200 OK\r\nContent-Length: " + lines.length() + "\r\n\r\n" + lines);
		exchange.assertTaken(lines);
		exchange.begin();
		exchange.receive(CHUNKED + Integer.toHexString(lines.length()) + "\r\n" + lines + "\r\n0\r\n\r\n");
		exchange.assertTaken(lines);
		exchange.begin();
		exchange.receive("HTTP/1.1 200 OK\r\n\r\n" + lines);
		exchange.channel.close();
		exchange.assertTaken(lines);
	}

	// Guards against the start of a head behind an answer, in its last packet, that waits
	// on a kept connection for the rest of the next answer.
	@ParameterizedTest
	@ValueSource(strings = { SOUND, CHUNKED + "10\r\n" + BODY + "\r\n0\r\n\r\n" })
	void aConnectionWithTheStartOfAHeadBehindItsAnswerIsNotKept(String answer) {
		for (final String start : List.of("HTTP/1.1 200 OK\r\nX-A ", "HTTP/1.1 2", "H", "\r\n")) {
			final Exchange exchange = new Exchange();
			exchange.receive(answer + start);
			exchange.assertTaken(BODY);
			assertThat(exchange.channel.isOpen()).isFalse();
			assertThat(exchange.idle).isEmpty();
			assertThat(exchange.unexpected).hasSize(1);
		}
	}

	private static void assertNotTaken(AnswerPart part, String bytes) {
		final Exchange exchange = new Exchange();
		exchange.receive(bytes);
		exchange.assertMalformed(part);
		assertThat(exchange.answer.head()).isNull();
		assertThat(exchange.answer.body()).isEmpty();
	}

	private static void assertFails(AnswerPart part, String bytes) {
		final Exchange exchange = new Exchange();
		exchange.receive(bytes);
		exchange.assertMalformed(part);
	}

	/**
	 * A connection and the request that waits on it.
	 */
	private static final class Exchange implements ConnectionOwner {

		private final List<ClientConnection> idle = new ArrayList<>();

		private final List<MalformedAnswer> malformed = new ArrayList<>();

		private final List<UnexpectedAnswer> unexpected = new ArrayList<>();

		private final List<ByteBuf> packets = new ArrayList<>();

		private final ClientConnection connection = new ClientConnection("target:80", this);

		private final EmbeddedChannel channel;

		private RecordedAnswer answer;

		Exchange() {
			begin();
			this.channel = new EmbeddedChannel(new HttpClientCodec(), this.connection);
		}

		void begin() {
			this.answer = new RecordedAnswer();
			final WebRequest request = new WebRequest("GET", "/", HeaderFields.of("Host", "shop", "Id", "7"),
					Body.of(""));
			this.connection.begin(new ClientCall(request.identifiedBy("Id"), this.answer, this.connection));
		}

		void receive(String bytes) {
			final ByteBuf packet = Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1);
			this.packets.add(packet);
			this.channel.releaseOutbound();
			this.channel.writeInbound(packet);
		}

		void receiveInPieces(String bytes, int size) {
			for (int start = 0; start < bytes.length() && this.channel.isOpen(); start += size) {
				receive(bytes.substring(start, Math.min(bytes.length(), start + size)));
			}
		}

		void assertMalformed(AnswerPart part) {
			assertThat(this.answer.failure()).isInstanceOfSatisfying(MalformedAnswerException.class,
					(failure) -> assertThat(failure.part()).isEqualTo(part));
			assertThat(this.answer.ends()).isEqualTo(1);
			assertThat(this.malformed).singleElement().satisfies((broken) -> {
				assertThat(broken.address()).isEqualTo("target:80");
				assertThat(broken.requestId()).isEqualTo("7");
				assertThat(broken.part()).isEqualTo(part);
				assertThat(broken.connection().earlierRequests()).isEqualTo(this.idle.size());
			});
			assertThat(this.channel.isOpen()).isFalse();
			assertThat(this.connection.isClosed()).isTrue();
			assertThat(this.packets).allMatch((packet) -> packet.refCnt() == 0);
		}

		void assertTaken(String body) {
			assertThat(this.answer.failure()).isNull();
			assertThat(this.answer.head().status()).isEqualTo(200);
			assertThat(this.answer.body()).isEqualTo(body);
			assertThat(this.answer.ends()).isEqualTo(1);
			assertThat(this.packets).allMatch((packet) -> packet.refCnt() == 0);
		}

		@Override
		public void onIdle(ClientConnection kept) {
			this.idle.add(kept);
		}

		@Override
		public void onUnexpected(UnexpectedAnswer surplus) {
			this.unexpected.add(surplus);
		}

		@Override
		public void onMalformed(MalformedAnswer broken) {
			this.malformed.add(broken);
		}

	}

}
