package org.pistachioline.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.placement.PrefixHashes;

/**
 * The prompt prefix cache of an engine stand-in, with an event for each change.
 */
final class PrefixCache {

	private static final int MAX_EVENTS = 1024;

	private final int capacity;

	private final LinkedHashMap<Long, Boolean> entries = new LinkedHashMap<>(16, 0.75f, true);

	private final List<Map<String, Object>> events = new ArrayList<>();

	private long nextEvent;

	PrefixCache(int capacity) {
		this.capacity = capacity;
	}

	// Also caches the prompt's prefixes, as an engine does while it reads them.
	synchronized int uncachedTokens(String prompt, long nowNanos) {
		final List<Long> hashes = PrefixHashes.of(prompt);
		int cached = 0;
		for (final Long hash : hashes) {
			if (this.entries.get(hash) == null) {
				break;
			}
			cached++;
		}
		for (int i = cached; i < hashes.size(); i++) {
			add(hashes.get(i));
		}
		final int tokens = Math.max(1, prompt.length() / 4);
		return Math.max(0, tokens - cached * PrefixHashes.BLOCK_TOKENS);
	}

	private void add(Long hash) {
		this.entries.put(hash, Boolean.TRUE);
		event("stored", hash);
		if (this.entries.size() > this.capacity) {
			final Long eldest = this.entries.keySet().iterator().next();
			this.entries.remove(eldest);
			event("evicted", eldest);
		}
	}

	synchronized void clear() {
		this.entries.clear();
		event("cleared", 0L);
	}

	synchronized Map<String, Object> events(long from) {
		final List<Map<String, Object>> page = this.events.stream()
			.filter((event) -> (Long) event.get("sequence") >= from)
			.toList();
		return Map.of("next", this.nextEvent, "events", page);
	}

	private void event(String kind, Long hash) {
		this.events.add(Map.of("sequence", this.nextEvent, "kind", kind, "hash", hash));
		this.nextEvent++;
		// Old events are lost, so that a reader who is late sees a gap.
		if (this.events.size() > MAX_EVENTS) {
			this.events.remove(0);
		}
	}

}
