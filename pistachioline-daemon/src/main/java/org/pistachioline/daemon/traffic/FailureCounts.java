package org.pistachioline.daemon.traffic;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLongArray;

import org.pistachioline.core.error.ErrorKind;

/**
 * Counts the requests that ended with a failure, by workspace and kind. Only requests of
 * declared workspaces get this far, so the number of rows is bounded by the manifest.
 */
public final class FailureCounts {

	private final Map<String, AtomicLongArray> countsByWorkspace = new ConcurrentHashMap<>();

	void add(String workspace, ErrorKind kind) {
		this.countsByWorkspace.computeIfAbsent(workspace, (key) -> new AtomicLongArray(ErrorKind.values().length))
			.incrementAndGet(kind.ordinal());
	}

	/**
	 * Returns the failures of one kind.
	 * @param kind the kind
	 * @return the count over all workspaces
	 */
	public long total(ErrorKind kind) {
		return this.countsByWorkspace.values().stream().mapToLong((counts) -> counts.get(kind.ordinal())).sum();
	}

	/**
	 * Returns the failures of one workspace.
	 * @param workspace the workspace
	 * @return the counts that are not 0, by code
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
