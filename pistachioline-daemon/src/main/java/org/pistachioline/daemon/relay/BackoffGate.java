package org.pistachioline.daemon.relay;

import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import org.pistachioline.core.backoff.BackoffRegistry;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.daemon.port.InstanceListener;

/**
 * Withholds attempts whose target requested backoff or was evacuated after the attempt
 * was scheduled.
 * <p>
 * Between scheduling and the first byte an attempt waits in a ring, on the event loop and
 * for a connection. On an overloaded daemon this takes up to a second, during which
 * responses with new backoff requests arrive. Not thread-safe: all calls come from the
 * event loop that reads the responses.
 */
final class BackoffGate {

	private final BackoffRegistry backoffs = new BackoffRegistry();

	private final InstanceListener listener;

	private final LongSupplier clockNanos;

	private volatile Predicate<String> evacuatedTargets = (targetId) -> false;

	/**
	 * Creates a gate that withholds nothing.
	 * @param listener receives the backoff requests and announced departures of instances
	 * @param clockNanos the monotonic clock
	 */
	BackoffGate(InstanceListener listener, LongSupplier clockNanos) {
		this.listener = listener;
		this.clockNanos = clockNanos;
	}

	void onBackoff(String targetId, OptionalLong backoffMillis) {
		if (backoffMillis.isPresent()) {
			final String instanceId = TargetView.instanceId(targetId);
			final long nowNanos = this.clockNanos.getAsLong();
			this.backoffs.onBackoff(nowNanos, instanceId, TimeUnit.MILLISECONDS.toNanos(backoffMillis.getAsLong()));
			this.listener.onBackoff(instanceId, backoffMillis.getAsLong());
			this.backoffs.retain(nowNanos, Set.of());
		}
	}

	void onLeaving(String targetId) {
		final String instanceId = TargetView.instanceId(targetId);
		if (this.backoffs.onLeaving(instanceId)) {
			this.backoffs.retain(this.clockNanos.getAsLong(), Set.of());
			this.listener.onLeaving(instanceId);
		}
	}

	void onCold(String targetId, OptionalLong remainingMillis) {
		remainingMillis.ifPresent((millis) -> this.listener.onCold(TargetView.instanceId(targetId), millis));
	}

	/**
	 * Sets which targets are evacuated; attempts that were scheduled at them are
	 * withheld.
	 * @param evacuated decides by the target's id
	 */
	void setEvacuatedTargets(Predicate<String> evacuated) {
		this.evacuatedTargets = evacuated;
	}

	boolean maySend(String targetId) {
		return !this.evacuatedTargets.test(targetId)
				&& !this.backoffs.isActive(this.clockNanos.getAsLong(), TargetView.instanceId(targetId));
	}

}
