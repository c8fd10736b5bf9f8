package org.pistachioline.daemon.tunnel;

import java.util.Set;
import java.util.function.LongSupplier;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.reachability.TargetReachability;
import org.pistachioline.daemon.event.Events;

/**
 * Records over which paths targets are reached and reports changes.
 */
final class PartitionMonitor {

	private final TargetReachability reachability = new TargetReachability();

	private final LongSupplier clockNanos;

	private volatile Runnable changeListener = () -> {
	};

	private boolean reportedPartitioned;

	/**
	 * Creates a monitor to which all targets are reachable.
	 * @param clockNanos the monotonic clock
	 */
	PartitionMonitor(LongSupplier clockNanos) {
		this.clockNanos = clockNanos;
	}

	/**
	 * Sets the listener that is called when a partition begins or ends.
	 * @param listener the listener; must not block
	 */
	void setChangeListener(Runnable listener) {
		this.changeListener = listener;
	}

	TargetReachability reachability() {
		return this.reachability;
	}

	void onDirectConnection(String address) {
		if (this.reachability.onDirectConnection(address)) {
			Events.log(EventId.TARGET_REACHED_AGAIN, "address", address);
			reportPartition();
		}
	}

	void onTunnel(String address, String daemonId) {
		if (this.reachability.onIndirectConnection(this.clockNanos.getAsLong(), address)) {
			Events.log(EventId.TARGET_UNREACHABLE, "address", address, "through", daemonId);
			reportPartition();
		}
	}

	void retain(Set<String> addresses) {
		this.reachability.retain(addresses);
		reportPartition();
	}

	private synchronized void reportPartition() {
		final boolean partitioned = this.reachability.isPartitioned();
		if (partitioned != this.reportedPartitioned) {
			this.reportedPartitioned = partitioned;
			Events.log(partitioned ? EventId.PARTITION_BEGAN : EventId.PARTITION_ENDED, "unreachable",
					this.reachability.unreachable().size());
			this.changeListener.run();
		}
	}

}
