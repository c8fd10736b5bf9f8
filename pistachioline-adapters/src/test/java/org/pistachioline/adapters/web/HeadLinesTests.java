package org.pistachioline.adapters.web;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class HeadLinesTests {

	private static final String FOLDED = " x\r\n";

	private final EmbeddedChannel channel = new EmbeddedChannel(new BytesBeforeHead(), new HttpClientCodec());

	// Guards against folded lines that keep the loop busy, so that sound requests time
	// out.
	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1 100 Continue\r\n\r\n", "\r\n" })
	void aHeadOfThousandsOfFoldedLinesIsNotDecoded(String before) {
		assertThatExceptionOfType(TooLongHttpHeaderException.class)
			.isThrownBy(() -> receive(before + "HTTP/1.1 200 OK\r\na:b\r\n" + FOLDED.repeat(1_500)));
	}

	@Test
	void linesOfABodyAreNotCounted() {
		receive("HTTP/1.1 200 OK\r\na:b\r\n" + FOLDED + "\r\n" + FOLDED.repeat(1_500));
		final Object decoded = this.channel.readInbound();
		assertThat(decoded).isInstanceOf(HttpResponse.class);
	}

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
		this.channel.checkException();
	}

}
