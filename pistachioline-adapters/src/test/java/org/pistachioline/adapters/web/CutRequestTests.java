package org.pistachioline.adapters.web;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CutRequestTests {

	// Guards against a request that runs although its caller has sent only a part of it.
	@ParameterizedTest
	@ValueSource(strings = { "GET /copy/1 HTTP/1.1\r\nHost: shop\r\nRequest-Id: 7\r\n\r\n",
			"POST /copy/1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\n\r\nsome",
			"POST /copy/1 HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nso\r\n0\r\nTrailer: c\r\n\r\n",
			"POST /copy/1 HTTP/1.0\r\nContent-Length: 4\r\n\r\nsome" })
	void aRequestThatIsClosedBeforeItsEndIsNotHandled(String request) {
		for (int cut = 0; cut < request.length(); cut++) {
			assertThat(handledRequests(request.substring(0, cut))).as("Closed after %s", request.substring(0, cut))
				.isZero();
		}
		assertThat(handledRequests(request)).isOne();
	}

	private static int handledRequests(String sent) {
		final RecordingHandler handler = new RecordingHandler();
		final EmbeddedChannel channel = new EmbeddedChannel();
		new ServerConnection(handler, () -> RequestLimits.DEFAULT, () -> 0, HeldBytes.unbounded(),
				new RequestQueue(() -> 0), () -> false)
			.addTo(channel.pipeline());
		channel.writeInbound(Unpooled.copiedBuffer(sent, StandardCharsets.US_ASCII));
		channel.runPendingTasks();
		final int handled = handler.requests().size();
		channel.close();
		channel.runPendingTasks();
		// Whatever was not handled before its caller left is not handled at all.
		assertThat(handler.requests()).hasSize(handled);
		return handled;
	}

}
