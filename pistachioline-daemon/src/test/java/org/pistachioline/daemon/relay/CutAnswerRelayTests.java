package org.pistachioline.daemon.relay;

import java.io.IOException;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.pistachioline.core.route.Route;
import org.pistachioline.core.route.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The relay before targets that stop in the middle of an answer and close.
 */
@Timeout(60)
class CutAnswerRelayTests {

	private static final String SECOND_WHOLE = "HTTP/1.1 200 OK\r\nAnswered-By: second\r\nContent-Length: 6\r\n\r\nsecond";

	private static final String SECOND_STREAM = "HTTP/1.1 200 OK\r\nAnswered-By: second\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n";

	private static final int READ_TIMEOUT_MILLIS = 20_000;

	private final RelayFixture relay = new RelayFixture(READ_TIMEOUT_MILLIS);

	private final ScriptedTarget target = new ScriptedTarget();

	@BeforeEach
	void start() throws IOException {
		this.target.start();
		// One server plays both, so that the script holds for whichever is chosen.
		this.relay.start(Stream.of("t@0", "u@0").map((id) -> RelayFixture.target(id, this.target.address())).toList(),
				route("safe", RouteKind.SAFE, false), route("unsafe", RouteKind.UNSAFE, false),
				route("stream", RouteKind.STREAM, false), route("resumable", RouteKind.STREAM, true));
	}

	@AfterEach
	void stop() {
		this.relay.stop();
		this.target.stop();
	}

	private static Route route(String name, RouteKind kind, boolean resumable) {
		return RelayFixture.route(name, "/" + name + "/", kind, 2, resumable);
	}

	private static Stream<Arguments> cuts() {
		return Stream
			.of("", "HTTP/1.1 200", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nAnswered",
					"HTTP/1.1 200 OK\r\nAnswered-By: fi", "HTTP/1.1 200 OK\r\nAnswered-By: first\r\n",
					"HTTP/1.1 200 OK\r\nContent-Length: 5", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
					"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
					"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfir", "HTTP/1.1 103 Early Hints\r\nLink: a",
					"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\nother",
					"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5",
					"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\nTrai",
					"HTTP/1.1 200 OK\r\n\u0000\u0001\u0002")
			.flatMap((text) -> Stream.of(Arguments.of(text, false), Arguments.of(text, true)));
	}

	// Guards against a success that is made of a part of an answer, where another target
	// can give a whole one.
	@ParameterizedTest
	@MethodSource("cuts")
	void aSafeRequestIsAnsweredByTheNextTarget(String cut, boolean reset) throws IOException {
		this.target.script(new ScriptedTarget.Ending(cut, reset), new ScriptedTarget.Ending(SECOND_WHOLE, false));
		assertThat(call("safe")).startsWith("HTTP/1.1 200 ").endsWith("\r\n\r\nsecond");
		assertThat(this.target.requests()).isEqualTo(2);
	}

	// Guards against the same on a connection that has carried an answer before.
	@ParameterizedTest
	@MethodSource("cuts")
	void aSafeRequestOnAKeptConnectionIsAnsweredByTheNextTarget(String cut, boolean reset) throws IOException {
		this.target.script(ScriptedTarget.Ending.kept(SECOND_WHOLE), new ScriptedTarget.Ending(cut, reset),
				new ScriptedTarget.Ending(SECOND_WHOLE, false));
		assertThat(call("safe")).endsWith("\r\n\r\nsecond");
		assertThat(call("safe")).startsWith("HTTP/1.1 200 ").endsWith("\r\n\r\nsecond");
		assertThat(this.target.requests()).isEqualTo(3);
		assertThat(this.target.connections()).isEqualTo(2);
	}

	// Guards against a request that runs twice, and against a status that promises that
	// it has not run.
	@ParameterizedTest
	@MethodSource("cuts")
	void anUnsafeRequestIsAnsweredWithAnErrorThatPromisesNothing(String cut, boolean reset) throws IOException {
		this.target.script(new ScriptedTarget.Ending(cut, reset), new ScriptedTarget.Ending(SECOND_WHOLE, false));
		assertThat(call("unsafe")).startsWith("HTTP/1.1 502 ").doesNotContain("first").doesNotContain("second");
		assertThat(this.target.requests()).isEqualTo(1);
	}

	// Guards against a stream that seems to have ended before its first event.
	@ParameterizedTest
	@MethodSource("cuts")
	void aStreamThatMayBeResumedComesFromTheNextTarget(String cut, boolean reset) throws IOException {
		this.target.script(new ScriptedTarget.Ending(cut, reset), new ScriptedTarget.Ending(SECOND_STREAM, false));
		assertThat(call("resumable")).startsWith("HTTP/1.1 200 ")
			.containsIgnoringCase("Answered-By: second")
			.endsWith("\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n");
		assertThat(this.target.requests()).isEqualTo(2);
	}

	// Guards against the same where no other target may run the request.
	@ParameterizedTest
	@MethodSource("cuts")
	void aStreamThatMayNotBeResumedIsAnsweredWithAnError(String cut, boolean reset) throws IOException {
		this.target.script(new ScriptedTarget.Ending(cut, reset), new ScriptedTarget.Ending(SECOND_STREAM, false));
		assertThat(call("stream")).startsWith("HTTP/1.1 502 ").doesNotContain("id: 1");
		assertThat(this.target.requests()).isEqualTo(1);
	}

	private String call(String route) throws IOException {
		return this.relay.call("/" + route + "/1");
	}

}
