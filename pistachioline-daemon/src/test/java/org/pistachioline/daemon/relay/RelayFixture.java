package org.pistachioline.daemon.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.DirectConnector;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.core.quarantine.GossipQuarantine;
import org.pistachioline.core.retry.RetryBudget;
import org.pistachioline.core.route.CallerBounds;
import org.pistachioline.core.route.Route;
import org.pistachioline.core.route.RouteKind;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.ServiceSpec;
import org.pistachioline.core.route.WeightedService;
import org.pistachioline.core.traffic.RoutingPolicies;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.traffic.LimitShareUpdater;
import org.pistachioline.daemon.traffic.NoClaims;
import org.pistachioline.daemon.traffic.TraceRecorder;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Runs a relay and its traffic duty before the targets of one service, and sends callers'
 * requests to it over real connections.
 */
final class RelayFixture {

	static final String ANY_PORT = "127.0.0.1:0";

	static final String SERVICE = "copy";

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private final ActorSystem<Void> system = ActorSystems.create("relay-test");

	private final WebLoop loop = new WebLoop("relay");

	private final TrafficDuty traffic = new TrafficDuty(this.system,
			new TrafficCore(RoutingPolicies.create("", 1, new RetryBudget(1, 100, Duration.ofSeconds(1).toNanos()),
					() -> 1, new GossipQuarantine())),
			new NoClaims(), new LimitShareUpdater("d", () -> Set.of("d"), 1_000), (suspect, nowMillis) -> {
				// The targets' crashes concern one request only.
			}, new TraceRecorder(false));

	private final DirectConnector direct = new DirectConnector(this.loop, CONNECT_TIMEOUT_MILLIS);

	private final int readTimeoutMillis;

	private Relay relay;

	private boolean relayStopped;

	/**
	 * Creates a relay that is not started yet.
	 * @param readTimeoutMillis how long callers wait for bytes, in milliseconds; 0 for
	 * ever
	 */
	RelayFixture(int readTimeoutMillis) {
		this.readTimeoutMillis = readTimeoutMillis;
	}

	void start(List<TargetView> targets, Route... routes) {
		start(new StubProtocol(), this.direct, targets, routes);
	}

	void start(StubProtocol protocol, Connector connector, List<TargetView> targets, Route... routes) {
		this.traffic.start();
		this.traffic.onTargets(targets);
		final RouteTable table = new RouteTable(1, List.of(routes),
				List.of(new ServiceSpec(SERVICE, 100, Optional.empty())), List.of(), CallerBounds.DEFAULT);
		this.relay = new Relay(this.loop, ANY_PORT, protocol, () -> table, this.traffic, (targetId, load) -> {
			// Loads are not part of these tests.
		}, new NoSignals(), connector);
		this.relay.start();
	}

	/** Stops the relay alone, if it still runs. */
	void stopRelay() {
		if (!this.relayStopped) {
			this.relayStopped = true;
			this.relay.stop();
		}
	}

	void stop() {
		stopRelay();
		this.traffic.stop();
		this.system.terminate();
	}

	static Route route(String name, String path, RouteKind kind, int maxAttempts, boolean resumable) {
		return new Route(name, "h", path, kind, 60_000, 60_000, 500, maxAttempts, 1, true, resumable,
				List.of(new WeightedService(SERVICE, 1)));
	}

	static TargetView target(String id, String address) {
		return new TargetView(id, TargetKind.SERVICE, SERVICE, address, 0, "", true, 100, 0, 0, 0);
	}

	/** Sends a request on a connection of its own, which stays open. */
	Socket send(String path) throws IOException {
		return send(path, "");
	}

	/** Sends a request whose connection ends with the answer, and reads all of it. */
	String call(String path) throws IOException {
		return read(path, "");
	}

	/** Does the same with a request that its answer names. */
	String call(String path, String requestId) throws IOException {
		return read(path, StubProtocol.ID_HEADER + ": " + requestId + "\r\n");
	}

	private String read(String path, String fields) throws IOException {
		try (Socket caller = send(path, fields + "Connection: close\r\n")) {
			return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
	}

	private Socket send(String path, String fields) throws IOException {
		final String[] address = this.relay.callerAddress().split(":");
		final Socket caller = new Socket(address[0], Integer.parseInt(address[1]));
		caller.setSoTimeout(this.readTimeoutMillis);
		caller.getOutputStream()
			.write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n").getBytes(StandardCharsets.US_ASCII));
		return caller;
	}

	WebLoop loop() {
		return this.loop;
	}

	DirectConnector direct() {
		return this.direct;
	}

	TrafficDuty traffic() {
		return this.traffic;
	}

	Relay relay() {
		return this.relay;
	}

	private static final class NoSignals implements InstanceListener {

		@Override
		public void onBackoff(String instanceId, long backoffMillis) {
			// The targets request no backoff.
		}

		@Override
		public void onLeaving(String instanceId) {
			// The targets do not leave.
		}

	}

}
