package org.pistachioline.adapters.web;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RequestTargetTests {

	@ParameterizedTest
	@CsvSource({ "http://shop.example/st/1, shop.example, /st/1",
			"HTTPS://shop.example:80/st?x=%20, shop.example:80, /st?x=%20", "http://shop.example, shop.example, /",
			"http://shop.example?x=1, shop.example, /?x=1", "http://shop.example//a/../b, shop.example, //a/../b" })
	void anAbsoluteTargetNamesHostAndPath(String text, String host, String pathAndQuery) {
		assertThat(RequestTarget.of(text)).isEqualTo(new RequestTarget(pathAndQuery, Optional.of(host)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "/st/1?x=http://other.example/", "//other.example/st", "*", "shop.example:443",
			"ftp://shop.example/st", "http:///st", "http://user@shop.example/st", "http://shop.example/st#part" })
	void anyOtherTargetIsTakenAsItIs(String text) {
		assertThat(RequestTarget.of(text)).isEqualTo(new RequestTarget(text, Optional.empty()));
	}

	/**
	 * Guards against a request that is routed by one host and reaches its target with
	 * another.
	 */
	@Test
	void theHostOfTheTargetReplacesTheField() {
		final HeaderFields fields = HeaderFields.of("host", "other.example", "X-A", "1");
		final HeaderFields replaced = RequestTarget.of("http://shop.example/st").headers(fields);
		assertThat(replaced.first("Host")).contains("shop.example");
		assertThat(replaced.count("Host")).isEqualTo(1);
		assertThat(replaced.first("X-A")).contains("1");
		assertThat(RequestTarget.of("/st").headers(fields)).isSameAs(fields);
	}

}
