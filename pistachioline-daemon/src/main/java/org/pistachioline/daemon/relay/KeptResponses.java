package org.pistachioline.daemon.relay;

import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Bounds the memory of all responses that are kept until they are complete.
 * <p>
 * At the bound the largest response without a declared length is ended, then the largest
 * of all: responses that never end become the largest, whereas refusing new requests
 * would let them grow and affect all other callers. It is changed on the loop's thread;
 * its numbers are read on any.
 */
final class KeptResponses {

	/**
	 * Half of what is held for callers, towards which kept responses count: they alone
	 * never cause requests to be refused.
	 */
	private static final int HEAP_PART = 6;

	private static final Comparator<KeptResponse> FIRST_TO_END = Comparator
		.comparing((KeptResponse response) -> !response.hasDeclaredLength())
		.thenComparingLong(KeptResponse::keptBytes);

	private final long maxBytes;

	private final Map<KeptResponse, Long> bytesByResponse = new IdentityHashMap<>();

	private volatile long totalBytes;

	private volatile long peakBytes;

	private volatile long endedCount;

	/**
	 * Creates an account that is empty.
	 * @param maxBytes the bound of the sum, in bytes
	 */
	KeptResponses(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates an account that is empty and whose bound is a part of the heap.
	 * @return the account
	 */
	static KeptResponses ofHeap() {
		return new KeptResponses(Runtime.getRuntime().maxMemory() / HEAP_PART);
	}

	/**
	 * Counts what a response keeps now. It, or others, may be ended by this call.
	 * @param response the response
	 */
	void update(KeptResponse response) {
		final long nowBytes = response.keptBytes();
		final Long before = this.bytesByResponse.put(response, nowBytes);
		addToTotal(nowBytes - ((before != null) ? before : 0));
		while (this.totalBytes > this.maxBytes) {
			endOne();
		}
	}

	/**
	 * Stops counting a response, as it is complete or has ended.
	 * @param response the response
	 */
	void remove(KeptResponse response) {
		final Long before = this.bytesByResponse.remove(response);
		if (before != null) {
			addToTotal(-before);
		}
	}

	private void addToTotal(long bytes) {
		this.totalBytes += bytes;
		this.peakBytes = Math.max(this.peakBytes, this.totalBytes);
	}

	private void endOne() {
		final KeptResponse first = Collections.max(this.bytesByResponse.keySet(), FIRST_TO_END);
		remove(first);
		this.endedCount++;
		first.endForSum();
	}

	/**
	 * Returns the memory of all kept responses.
	 * @return the number of bytes now
	 */
	long totalBytes() {
		return this.totalBytes;
	}

	/**
	 * Returns the largest memory of all kept responses since the start.
	 * @return the number of bytes
	 */
	long peakBytes() {
		return this.peakBytes;
	}

	/**
	 * Returns the number of responses that were ended because of the sum.
	 * @return the number since the start
	 */
	long endedCount() {
		return this.endedCount;
	}

}
