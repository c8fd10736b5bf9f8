package org.pistachioline.daemon.relay;

import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.pistachioline.core.backoff.BackoffBook;
import org.pistachioline.core.traffic.TargetView;

/**
 * Holds back attempts that were decided before it was known that their target wants none.
 * <p>
 * From the decision to the first byte an attempt passes a ring, this loop and the making
 * of a connection; on a daemon that runs late that is most of a second, in which answers
 * come. One thread calls it, the one on which they are read.
 */
final class BackoffGate {

	private final BackoffBook heard = new BackoffBook();

	private final TargetListener listener;

	BackoffGate(TargetListener listener) {
		this.listener = listener;
	}

	void hearBackoff(long nowNanos, String targetId, OptionalLong forMillis) {
		if (forMillis.isPresent()) {
			this.heard.onBackoff(nowNanos, TargetView.instanceId(targetId),
					TimeUnit.MILLISECONDS.toNanos(forMillis.getAsLong()));
			this.heard.retain(nowNanos, Set.of());
			this.listener.onBackoff(targetId, forMillis.getAsLong());
		}
	}

	void hearLeaving(String targetId) {
		if (this.heard.onLeaving(TargetView.instanceId(targetId))) {
			this.listener.onLeaving(targetId);
		}
	}

	boolean maySend(long nowNanos, String targetId) {
		return !this.heard.holds(nowNanos, TargetView.instanceId(targetId));
	}

}
