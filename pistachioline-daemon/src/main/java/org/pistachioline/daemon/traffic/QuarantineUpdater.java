package org.pistachioline.daemon.traffic;

import java.time.Duration;
import java.util.List;

import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.core.traffic.TrafficCore;

/**
 * Applies the quarantined and suspected requests of the replicated fleet state to the
 * traffic core. They expire by the wall clock without a new record, so they are evaluated
 * again periodically. It is confined to the traffic duty's thread.
 */
final class QuarantineUpdater {

	private static final long REFRESH_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	private FleetState fleetState = FleetState.EMPTY;

	private long updatedAtNanos;

	/**
	 * Records the state of the fleet.
	 * @param state the state
	 * @return whether quarantines or suspicions changed, so that an update is due
	 */
	boolean onFleetState(FleetState state) {
		final boolean changed = state.quarantines() != this.fleetState.quarantines()
				|| state.suspicions() != this.fleetState.suspicions();
		this.fleetState = state;
		return changed;
	}

	/**
	 * Returns whether the periodic update is due.
	 * @param nowNanos the monotonic time
	 * @return whether the interval has passed since the last update
	 */
	boolean isDue(long nowNanos) {
		return nowNanos - this.updatedAtNanos >= REFRESH_INTERVAL_NANOS;
	}

	/**
	 * Applies what has not expired.
	 * @param nowNanos the monotonic time
	 * @param core the traffic core
	 * @return the actions to execute
	 */
	List<TrafficAction> update(long nowNanos, TrafficCore core) {
		final long nowMillis = System.currentTimeMillis();
		this.updatedAtNanos = nowNanos;
		return core.onQuarantines(nowNanos, LogSuspectReporter.quarantined(this.fleetState, nowMillis),
				LogSuspectReporter.suspected(this.fleetState, nowMillis));
	}

}
