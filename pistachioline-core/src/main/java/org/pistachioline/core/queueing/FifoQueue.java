package org.pistachioline.core.queueing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * A first-come, first-served queue over all workspaces; the baseline without fairness.
 */
public final class FifoQueue implements QueuePolicy {

	private static final long RETRY_MILLIS = 1_000;

	private final int maxRequests;

	private final Deque<RequestInfo> waiting = new ArrayDeque<>();

	/**
	 * Creates an empty queue.
	 * @param maxRequests the bound on queued requests
	 */
	public FifoQueue(int maxRequests) {
		this.maxRequests = maxRequests;
	}

	@Override
	public void configure(Manifest manifest) {
		// The bound is fixed, and workspaces have no weights.
	}

	@Override
	public Optional<Refusal> offer(long nowNanos, RequestInfo info) {
		if (this.waiting.size() >= this.maxRequests) {
			return Optional.of(new Refusal(ErrorKind.QUEUE_FULL, RETRY_MILLIS));
		}
		this.waiting.addLast(info);
		return Optional.empty();
	}

	@Override
	public Optional<RequestInfo> poll(long nowNanos, ToIntFunction<RequestInfo> freeSlots) {
		final Iterator<RequestInfo> iterator = this.waiting.iterator();
		while (iterator.hasNext()) {
			final RequestInfo info = iterator.next();
			if (freeSlots.applyAsInt(info) > 0) {
				iterator.remove();
				return Optional.of(info);
			}
		}
		return Optional.empty();
	}

	@Override
	public List<RequestInfo> expire(long nowNanos) {
		final List<RequestInfo> expired = new ArrayList<>();
		this.waiting.removeIf((info) -> {
			final boolean isExpired = nowNanos >= info.firstTokenDeadlineNanos();
			if (isExpired) {
				expired.add(info);
			}
			return isExpired;
		});
		return expired;
	}

	@Override
	public void remove(long requestId) {
		this.waiting.removeIf((info) -> info.requestId() == requestId);
	}

	@Override
	public int size() {
		return this.waiting.size();
	}

}
