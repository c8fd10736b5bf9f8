package org.pistachioline.daemon.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.pistachioline.adapters.web.RequestLimits;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebServer;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.route.RouteKind;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.traffic.AttemptListener;
import org.pistachioline.daemon.traffic.Exchange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: a relay whose loop stands still while callers give up, over real connections.
 */
@Timeout(60)
class OverrunRelayTests {

	private static final int CALLERS = 20;

	private final RelayFixture relay = new RelayFixture(0);

	private final WebLoop targetLoop = new WebLoop("target");

	private final Queue<String> sentToTarget = new ConcurrentLinkedQueue<>();

	private final WebServer target = new WebServer(this.targetLoop, RelayFixture.ANY_PORT, (request, reply) -> {
		this.sentToTarget.add(request.path());
		reply.whole(WebAnswer.text(200, "done"));
	}, () -> RequestLimits.DEFAULT);

	private final CountDownLatch held = new CountDownLatch(1);

	private final CountDownLatch released = new CountDownLatch(1);

	private final StubProtocol protocol = new StubProtocol();

	private volatile Runnable onTargetConnected = () -> {
	};

	@BeforeEach
	void start() {
		this.target.start();
		this.relay.start(this.protocol, (address) -> this.relay.direct().connect(address).thenApply((opened) -> {
			this.onTargetConnected.run();
			return opened;
		}), List.of(RelayFixture.target("t@0", this.target.localAddress())),
				RelayFixture.route("copy", "/", RouteKind.SAFE, 2, true));
	}

	@AfterEach
	void stop() {
		this.released.countDown();
		this.relay.stop();
		this.target.stop();
		this.targetLoop.close();
	}

	// Guards against requests that are read, with the leaving of their callers behind
	// them, and sent on.
	@Test
	void noRequestIsSentForCallersWhoLeftBeforeTheirConnectionsWereAccepted() throws Exception {
		this.relay.loop().execute(this::hold);
		this.held.await();
		for (int i = 0; i < CALLERS; i++) {
			this.relay.send("/left/" + i).close();
		}
		this.released.countDown();
		assertThatOnlyTheLastRequestIsSent();
	}

	// Guards against an attempt that runs before the loop reads on and sees that the
	// caller has left.
	@Test
	void noRequestIsSentForACallerWhoLeftWhileItsAttemptWaitedForTheLoop() throws Exception {
		this.protocol.onNextRequest(() -> this.relay.loop().execute(this::hold));
		final Socket caller = this.relay.send("/left/0");
		this.held.await();
		caller.close();
		awaitTrafficDuty();
		this.released.countDown();
		assertThatOnlyTheLastRequestIsSent();
	}

	// Guards against a request that leaves with the new connection to its target,
	// although its caller has left.
	@Test
	void noRequestIsSentForACallerWhoLeftWhileItsTargetWasConnected() throws Exception {
		this.onTargetConnected = this::hold;
		final Socket caller = this.relay.send("/left/0");
		this.held.await();
		caller.close();
		this.released.countDown();
		assertThatOnlyTheLastRequestIsSent();
	}

	private void hold() {
		this.held.countDown();
		try {
			this.released.await();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void awaitTrafficDuty() throws InterruptedException {
		final CountDownLatch reached = new CountDownLatch(1);
		this.relay.traffic().submit(new SignallingExchange(reached));
		reached.await();
	}

	private void assertThatOnlyTheLastRequestIsSent() throws IOException {
		try (Socket last = this.relay.send("/last")) {
			assertThat(last.getInputStream().readNBytes(12)).asString(StandardCharsets.US_ASCII)
				.isEqualTo("HTTP/1.1 200");
		}
		assertThat(this.sentToTarget).containsExactly("/last");
	}

	/**
	 * Takes the first action of the traffic duty for it as the sign that it has come so
	 * far.
	 */
	private record SignallingExchange(CountDownLatch reached) implements Exchange {

		@Override
		public RequestInfo info() {
			return new RequestInfo(Long.MAX_VALUE, "", TargetKind.SERVICE, RelayFixture.SERVICE, 1, 1, 0,
					System.nanoTime() + TimeUnit.MINUTES.toNanos(1), System.nanoTime() + TimeUnit.MINUTES.toNanos(1),
					true, ClaimRequirement.NONE, "", List.of());
		}

		@Override
		public void start(TrafficAction.Start start, AttemptListener listener) {
			this.reached.countDown();
		}

		@Override
		public void cancel(AttemptId attempt) {
			// Nothing was sent.
		}

		@Override
		public void finish() {
			// Nobody waits for an answer.
		}

		@Override
		public void fail(ErrorKind kind, RunState runState, long retryAfterMillis) {
			this.reached.countDown();
		}

		@Override
		public void replay(KeyOutcome outcome) {
			// Nobody waits for an answer.
		}

	}

}
