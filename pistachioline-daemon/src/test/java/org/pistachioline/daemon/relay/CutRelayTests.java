package org.pistachioline.daemon.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.RequestLimits;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebReply;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.adapters.web.WebServer;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.route.RouteKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.daemon.event.EventRecorder;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: streams that the relay itself ends before they are complete, over real
 * connections.
 */
@Timeout(60)
class CutRelayTests {

	private static final byte[] EVENT = "id: 1\n\n".getBytes(StandardCharsets.US_ASCII);

	private static final int CALLER_PATIENCE_MILLIS = 10_000;

	private static final int MAX_CHECKS = 10_000;

	private final RelayFixture relay = new RelayFixture(CALLER_PATIENCE_MILLIS);

	private final WebLoop targetLoop = new WebLoop("target");

	private final AtomicInteger received = new AtomicInteger();

	private final CountDownLatch streaming = new CountDownLatch(1);

	private final WebServer firstTarget = new WebServer(this.targetLoop, RelayFixture.ANY_PORT, this::handle,
			() -> RequestLimits.DEFAULT);

	private final WebServer secondTarget = new WebServer(this.targetLoop, RelayFixture.ANY_PORT, this::handle,
			() -> RequestLimits.DEFAULT);

	private final EventRecorder events = new EventRecorder();

	@BeforeEach
	void start() {
		this.firstTarget.start();
		this.secondTarget.start();
		this.relay.start(List.of(target("t@0", this.firstTarget), target("u@0", this.secondTarget)),
				RelayFixture.route("copy", "/", RouteKind.STREAM, 2, true));
	}

	@AfterEach
	void stop() {
		this.relay.stop();
		this.firstTarget.stop();
		this.secondTarget.stop();
		this.targetLoop.close();
		this.events.close();
	}

	// Guards against a stream that stays open with nothing to come, since its second
	// target answered it with an error and no whole response can follow its events.
	@Test
	void aStreamWhoseNextTargetAnswersWithAnErrorDoesNotStayOpen() throws IOException {
		try (Socket caller = this.relay.send("/crash")) {
			assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)).contains("id: 1")
				.doesNotContain("0\r\n\r\n");
		}
		assertThat(this.received).hasValue(2);
		assertThat(awaitIncomplete()).containsEntry("request", "r7")
			.containsEntry("events", "1")
			.containsEntry("config_version", "1");
		assertThat(awaitIncomplete().get("attempts")).matches("[tu]@0 broken, [tu]@0 mismatched");
	}

	// Guards against a stop that closes callers' connections without a trace.
	@Test
	void aStreamThatAStopCutsOffIsLogged() throws IOException, InterruptedException {
		try (Socket caller = this.relay.send("/silent")) {
			assertThat(caller.getInputStream().readNBytes(12)).asString(StandardCharsets.US_ASCII)
				.isEqualTo("HTTP/1.1 200");
			this.streaming.await();
			this.relay.stopRelay();
			assertThat(awaitIncomplete()).containsEntry("request", "r7").containsEntry("reason", "server_stopped");
			assertThat(awaitIncomplete().get("attempts")).matches("[tu]@0 running");
		}
		assertThat(this.relay.relay().incompleteResponseCount("server_stopped")).isOne();
	}

	private Map<String, String> awaitIncomplete() {
		for (int check = 0; check < MAX_CHECKS && this.events.events(EventId.RESPONSE_INCOMPLETE).isEmpty(); check++) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
		}
		assertThat(this.events.events(EventId.RESPONSE_INCOMPLETE)).hasSize(1);
		return this.events.events(EventId.RESPONSE_INCOMPLETE).get(0);
	}

	private void handle(WebRequest request, WebReply reply) {
		if (this.received.incrementAndGet() > 1) {
			reply.whole(WebAnswer.text(404, "unknown"));
			return;
		}
		reply.begin(new AnswerHead(200, HeaderFields.of("Content-Type", "text/event-stream")));
		reply.piece(EVENT, 0, EVENT.length);
		reply.flush();
		if (request.path().equals("/crash")) {
			reply.breakOff();
		}
		this.streaming.countDown();
	}

	private static TargetView target(String id, WebServer server) {
		return RelayFixture.target(id, server.localAddress());
	}

}
