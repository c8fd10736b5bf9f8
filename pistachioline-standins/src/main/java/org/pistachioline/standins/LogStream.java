package org.pistachioline.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * One stream of the log stand-in; its owner's lock guards it.
 */
final class LogStream {

	private final Deque<Entry> entries = new ArrayDeque<>();

	private List<CompletableFuture<Void>> waiters = new ArrayList<>();

	private long endOffset;

	private long appendedBytes;

	long append(long nowMillis, byte[] payloadBytes) {
		final long offset = this.endOffset;
		this.entries.addLast(new Entry(offset, nowMillis, payloadBytes));
		this.endOffset++;
		this.appendedBytes += payloadBytes.length;
		return offset;
	}

	void expire(long olderThanMillis) {
		while (!this.entries.isEmpty() && this.entries.peekFirst().appendedAtMillis() < olderThanMillis) {
			this.entries.removeFirst();
		}
	}

	List<Entry> from(long offset, long maxBytes) {
		final List<Entry> page = new ArrayList<>();
		long bytes = 0;
		for (final Entry entry : this.entries) {
			if (entry.offset() >= offset) {
				bytes += entry.payloadBytes().length;
				if (bytes > maxBytes && !page.isEmpty()) {
					break;
				}
				page.add(entry);
			}
		}
		return page;
	}

	CompletableFuture<Void> newWaiter() {
		final CompletableFuture<Void> waiter = new CompletableFuture<>();
		this.waiters.add(waiter);
		return waiter;
	}

	List<CompletableFuture<Void>> takeWaiters() {
		final List<CompletableFuture<Void>> taken = this.waiters;
		this.waiters = new ArrayList<>();
		return taken;
	}

	long headOffset() {
		return this.entries.isEmpty() ? this.endOffset : this.entries.peekFirst().offset();
	}

	long endOffset() {
		return this.endOffset;
	}

	long appendedBytes() {
		return this.appendedBytes;
	}

	record Entry(long offset, long appendedAtMillis, byte[] payloadBytes) {
	}

}
