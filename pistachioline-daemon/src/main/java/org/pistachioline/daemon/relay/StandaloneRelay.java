package org.pistachioline.daemon.relay;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.core.quarantine.GossipQuarantine;
import org.pistachioline.core.retry.RetryBudget;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.traffic.RoutingPolicies;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.port.RelayProtocol;
import org.pistachioline.daemon.traffic.LimitShareUpdater;
import org.pistachioline.daemon.traffic.NoClaims;
import org.pistachioline.daemon.traffic.TraceRecorder;
import org.pistachioline.daemon.traffic.TrafficDuty;
import org.pistachioline.daemon.tunnel.TargetConnections;

/**
 * Runs the relay without a platform, with a fixed configuration and fixed targets.
 */
public final class StandaloneRelay implements Lifecycle {

	private static final String DAEMON_ID = "stack";

	private static final int RETRIES_PER_SECOND = 100;

	private static final long HEARTBEAT_MILLIS = 1_000;

	private final TrafficDuty traffic;

	private final Relay relay;

	private final List<TargetView> targets;

	/**
	 * Creates a relay that does not listen yet.
	 * @param system the actor system to run on
	 * @param callerAddress the listen address for callers, as host and port
	 * @param protocol reads and writes the headers of callers and targets
	 * @param table the configuration
	 * @param targets the targets
	 */
	public StandaloneRelay(ActorSystem<?> system, String callerAddress, RelayProtocol protocol, RouteTable table,
			List<TargetView> targets) {
		this.targets = List.copyOf(targets);
		this.traffic = new TrafficDuty(system,
				new TrafficCore(RoutingPolicies.create("", 1,
						new RetryBudget(1, RETRIES_PER_SECOND, Duration.ofSeconds(1).toNanos()), () -> 1,
						new GossipQuarantine())),
				new NoClaims(), new LimitShareUpdater(DAEMON_ID, () -> Set.of(DAEMON_ID), HEARTBEAT_MILLIS),
				(suspect, nowMillis) -> {
					// Requests are not expected to crash the fixed targets.
				}, new TraceRecorder(false));
		final WebLoop loop = new WebLoop("relay");
		this.relay = new Relay(loop, callerAddress, protocol, () -> table, this.traffic, (targetId, load) -> {
			// The targets are fixed, so their load is not tracked.
		}, new NoOpInstanceListener(), TargetConnections.direct(loop));
	}

	@Override
	public void start() {
		this.traffic.start();
		this.traffic.onTargets(this.targets);
		this.relay.start();
	}

	@Override
	public void stop() {
		this.relay.stop();
		this.traffic.stop();
	}

	/**
	 * Returns the listen address for callers.
	 * @return the address, as host and port
	 */
	public String callerAddress() {
		return this.relay.callerAddress();
	}

	private static final class NoOpInstanceListener implements InstanceListener {

		@Override
		public void onBackoff(String instanceId, long backoffMillis) {
			// The targets are fixed and do not request backoff.
		}

		@Override
		public void onLeaving(String instanceId) {
			// The targets are fixed and do not leave.
		}

	}

}
