package org.pistachioline.daemon.traffic;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLongArray;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.traffic.FailureReason;

/**
 * Counts the failed requests by workspace and error kind, and by reason. Only requests of
 * declared workspaces reach this class, so the manifest bounds the number of rows.
 */
public final class FailureCounts {

	private final Map<String, AtomicLongArray> countsByWorkspace = new ConcurrentHashMap<>();

	private final AtomicLongArray countsByReason = new AtomicLongArray(FailureReason.values().length);

	void add(String workspace, ErrorKind kind, FailureReason reason) {
		this.countsByWorkspace.computeIfAbsent(workspace, (key) -> new AtomicLongArray(ErrorKind.values().length))
			.incrementAndGet(kind.ordinal());
		this.countsByReason.incrementAndGet(reason.ordinal());
	}

	/**
	 * Returns the number of failures for one reason.
	 * @param reason the reason
	 * @return the count over all workspaces
	 */
	public long total(FailureReason reason) {
		return this.countsByReason.get(reason.ordinal());
	}

	/**
	 * Returns the number of failures of one kind.
	 * @param kind the kind
	 * @return the count over all workspaces
	 */
	public long total(ErrorKind kind) {
		return this.countsByWorkspace.values().stream().mapToLong((counts) -> counts.get(kind.ordinal())).sum();
	}

	/**
	 * Returns the number of failures of one workspace by error code.
	 * @param workspace the workspace
	 * @return the counts that are not 0, by error code
	 */
	public Map<String, Long> countsByCode(String workspace) {
		final Map<ErrorKind, Long> byKind = new EnumMap<>(ErrorKind.class);
		final AtomicLongArray counts = this.countsByWorkspace.get(workspace);
		for (final ErrorKind kind : ErrorKind.values()) {
			if (counts != null && counts.get(kind.ordinal()) > 0) {
				byKind.put(kind, counts.get(kind.ordinal()));
			}
		}
		final Map<String, Long> byCode = new TreeMap<>();
		byKind.forEach((kind, count) -> byCode.put(kind.code(), count));
		return byCode;
	}

}
