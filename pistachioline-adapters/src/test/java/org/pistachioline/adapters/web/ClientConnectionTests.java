package org.pistachioline.adapters.web;

import java.io.IOException;
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

import static org.assertj.core.api.Assertions.assertThat;

class ClientConnectionTests {

	private static final WebRequest REQUEST = new WebRequest("POST", "/copy/1?a=%20b",
			HeaderFields.of("Host", "shop", "Transfer-Encoding", "chunked"), Body.of("prompt"));

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			+ "7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n";

	private static final String WITH_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	private final List<ClientConnection> idle = new ArrayList<>();

	private final ClientConnection connection = new ClientConnection("target:80", this.idle::add);

	private final RecordedAnswer answer = new RecordedAnswer();

	private final ClientCall call = new ClientCall(REQUEST, this.answer, this.connection);

	private final EmbeddedChannel channel = connect();

	private EmbeddedChannel connect() {
		this.connection.begin(this.call);
		return new EmbeddedChannel(new HttpClientCodec(), this.connection);
	}

	@Test
	void theRequestLeavesOnceTheConnectionIsMade() {
		assertThat(sent()).startsWith("POST /copy/1?a=%20b HTTP/1.1\r\n")
			.containsIgnoringCase("\r\nhost: shop\r\n")
			.containsIgnoringCase("\r\ncontent-length: 6\r\n")
			.doesNotContainIgnoringCase("transfer-encoding")
			.endsWith("\r\n\r\nprompt");
	}

	/**
	 * Guards against a request that is sent though it is not wanted any more when its
	 * connection is made.
	 */
	@Test
	void aRequestThatIsNotWantedAnyMoreIsNotSent() {
		final ClientConnection own = new ClientConnection("target:80", this.idle::add);
		final RecordedAnswer unwanted = new RecordedAnswer();
		unwanted.wanted = false;
		own.begin(new ClientCall(REQUEST, unwanted, own));
		final EmbeddedChannel made = new EmbeddedChannel(new HttpClientCodec(), own);
		assertThat(made.<Object>readOutbound()).isNull();
		assertThat(made.isOpen()).isFalse();
		assertThat(unwanted.ends()).isZero();
		assertThat(this.idle).isEmpty();
	}

	/**
	 * Answers arrive cut anywhere. Whatever the cuts, the receiver gets the same bytes
	 * and one end, and the connection is kept.
	 * @param cut the size of the pieces
	 */
	@Property(seed = "7")
	void cutsChangeNothing(@ForAll @IntRange(min = 1, max = 90) int cut) {
		final List<ClientConnection> kept = new ArrayList<>();
		final ClientConnection own = new ClientConnection("target:80", kept::add);
		final RecordedAnswer received = new RecordedAnswer();
		own.begin(new ClientCall(REQUEST, received, own));
		final EmbeddedChannel cutChannel = new EmbeddedChannel(new HttpClientCodec(), own);
		for (int start = 0; start < CHUNKED.length(); start += cut) {
			cutChannel.writeInbound(buffer(CHUNKED.substring(start, Math.min(CHUNKED.length(), start + cut))));
		}
		assertThat(received.body()).isEqualTo("id: 1\n\nid: 2\n\n");
		assertThat(received.ends()).isEqualTo(1);
		assertThat(received.failure()).isNull();
		assertThat(kept).containsExactly(own);
	}

	/**
	 * A target sends further bytes behind its answer. Kept, the connection would give
	 * them to the next request, whose caller would get another's answer.
	 */
	@Test
	void aConnectionThatBringsMoreThanTheAnswerIsNotKept() {
		receive(WITH_LENGTH + WITH_LENGTH);
		assertThat(this.answer.body()).isEqualTo("ok");
		assertThat(this.answer.failure()).isNull();
		assertThat(this.idle).isEmpty();
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void aConnectionThatBringsSomethingWhileNobodyWaitsIsClosed() {
		receive(WITH_LENGTH);
		assertThat(this.idle).hasSize(1);
		receive(WITH_LENGTH);
		assertThat(this.connection.isClosed()).isTrue();
	}

	@Test
	void anAnswerThatSaysCloseOrHasNoLengthEndsItsConnection() {
		receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
		assertThat(this.answer.ends()).isEqualTo(1);
		assertThat(this.idle).isEmpty();
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void anAnswerWithoutALengthIsWholeWhenItsConnectionEndsInOrder() {
		receive("HTTP/1.1 200 OK\r\n\r\nsome");
		assertThat(this.answer.ends()).isZero();
		this.channel.close();
		assertThat(this.answer.body()).isEqualTo("some");
		assertThat(this.answer.failure()).isNull();
		assertThat(this.idle).isEmpty();
	}

	/**
	 * A target dies in the middle of an answer without a length, and its connection is
	 * reset. Taken for the end, the caller would get the half as if it were whole.
	 */
	@Test
	void anAnswerWithoutALengthIsNotWholeWhenItsConnectionIsReset() {
		receive("HTTP/1.1 200 OK\r\n\r\nsome");
		this.channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
		this.channel.close();
		assertThat(this.answer.failure()).isNotNull();
		assertThat(this.answer.ends()).isEqualTo(1);
	}

	@Test
	void anAnswerThatIsCutShortFails() {
		receive("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome");
		this.channel.close();
		assertThat(this.answer.failure()).isNotNull();
		assertThat(this.answer.ends()).isEqualTo(1);
	}

	@Test
	void bytesThatAreNoAnswerFail() {
		receive("garbage\r\n\r\n");
		assertThat(this.answer.failure()).isNotNull();
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void noticesBeforeTheAnswerAreSkipped() {
		receive("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + WITH_LENGTH);
		assertThat(this.answer.head().status()).isEqualTo(200);
		assertThat(this.answer.body()).isEqualTo("ok");
		assertThat(this.answer.ends()).isEqualTo(1);
	}

	@Test
	void aCallThatIsGivenUpClosesItsConnectionAndHearsNothingMore() {
		receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n");
		this.call.abort();
		assertThat(this.channel.isOpen()).isFalse();
		assertThat(this.answer.ends()).isZero();
	}

	/**
	 * A request is given up just after its answer has ended, when its connection carries
	 * another request already. That one must go on.
	 */
	@Test
	void aCallThatHasEndedCannotCloseTheConnectionOfTheNext() {
		receive(WITH_LENGTH);
		final RecordedAnswer second = new RecordedAnswer();
		this.connection.begin(new ClientCall(REQUEST, second, this.connection));
		this.call.abort();
		receive(WITH_LENGTH);
		assertThat(second.body()).isEqualTo("ok");
		assertThat(this.idle).hasSize(2);
	}

	private void receive(String bytes) {
		this.channel.writeInbound(buffer(bytes));
	}

	private String sent() {
		final StringBuilder text = new StringBuilder();
		ByteBuf written = this.channel.readOutbound();
		while (written != null) {
			text.append(written.toString(StandardCharsets.US_ASCII));
			written.release();
			written = this.channel.readOutbound();
		}
		return text.toString();
	}

	private static ByteBuf buffer(String bytes) {
		return Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII);
	}

}
