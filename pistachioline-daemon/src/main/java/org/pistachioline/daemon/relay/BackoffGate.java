package org.pistachioline.daemon.relay;

import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.pistachioline.core.backoff.BackoffRegistry;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.daemon.port.InstanceListener;

/**
 * Holds back attempts that were decided before it was known that their target wants none.
 * <p>
 * From the decision to the first byte an attempt passes a ring, this loop and the making
 * of a connection; on a daemon that runs late that is most of a second, in which answers
 * come. One thread calls it, the one on which they are read.
 */
final class BackoffGate {

	private final BackoffRegistry backoffs = new BackoffRegistry();

	private final InstanceListener listener;

	private final LongSupplier clockNanos;

	/**
	 * Creates a gate that holds nothing back.
	 * @param listener is told what targets want of this daemon
	 * @param clockNanos the monotonic clock
	 */
	BackoffGate(InstanceListener listener, LongSupplier clockNanos) {
		this.listener = listener;
		this.clockNanos = clockNanos;
	}

	void onBackoff(String targetId, OptionalLong forMillis) {
		if (forMillis.isPresent()) {
			final String instanceId = TargetView.instanceId(targetId);
			final long nowNanos = this.clockNanos.getAsLong();
			this.backoffs.onBackoff(nowNanos, instanceId, TimeUnit.MILLISECONDS.toNanos(forMillis.getAsLong()));
			this.listener.onBackoff(instanceId, forMillis.getAsLong());
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

	boolean maySend(String targetId) {
		return !this.backoffs.isActive(this.clockNanos.getAsLong(), TargetView.instanceId(targetId));
	}

}
