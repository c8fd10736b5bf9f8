package org.pistachioline.adapters.web;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.util.collection.IntObjectHashMap;
import io.netty.util.collection.IntObjectMap;

/**
 * What a connection has carried. Not thread-safe: all calls come from the loop.
 */
final class ConnectionHistory {

	/** Bounds the memory for the ids of one connection. */
	static final int MAX_REQUESTS = 1_000;

	private static final AtomicLong LAST_NUMBER = new AtomicLong();

	private final long number = LAST_NUMBER.incrementAndGet();

	/** Hashes, as a long-lived connection carries many ids. */
	private final IntObjectMap<Boolean> idHashes = new IntObjectHashMap<>();

	private boolean idleBefore;

	private int requestCount;

	private Optional<String> idHeader = Optional.empty();

	private long idleSinceNanos;

	void onBegin(WebRequest request) {
		this.requestCount++;
		this.idHeader = request.idHeader();
		request.id().ifPresent((id) -> this.idHashes.put(id.hashCode(), Boolean.TRUE));
	}

	void onIdle() {
		this.idleBefore = true;
		this.idleSinceNanos = System.nanoTime();
	}

	long idleSinceNanos() {
		return this.idleSinceNanos;
	}

	/**
	 * Returns whether the connection has carried as many requests as it may.
	 * @return whether it must not be used again
	 */
	boolean isFull() {
		return this.requestCount >= MAX_REQUESTS;
	}

	/**
	 * Returns whether the connection has carried a request with an id.
	 * @param id the id
	 * @return true also, very rarely, for an id that it has not carried
	 */
	boolean hasCarried(String id) {
		return this.idHashes.containsKey(id.hashCode());
	}

	/**
	 * Returns the header field by which answers name the last request.
	 * @return the field's name; empty if they do not
	 */
	Optional<String> idHeader() {
		return this.idHeader;
	}

	/**
	 * Returns how the connection has been used until now.
	 * @return the use, all requests included
	 */
	ConnectionUse use() {
		final long idleNanos = this.idleBefore ? System.nanoTime() - this.idleSinceNanos : 0;
		return new ConnectionUse(this.number, this.requestCount, TimeUnit.NANOSECONDS.toMillis(idleNanos));
	}

}
