package org.pistachioline.daemon.http;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.adapters.http.Json;
import org.pistachioline.adapters.web.WebRequest;

/**
 * The part of a dump that an operator requests.
 * <p>
 * With 1,600 groups of 32 members a complete dump is several megabytes, and several
 * operators requesting it at once would compete with the daemon's own work. So every list
 * is truncated unless it is read page by page.
 *
 * @param section the only section to return; empty for all
 * @param from the index of the first entry of each list
 * @param limit the maximum number of entries of each list
 * @param match a text that each returned entry contains
 */
record DumpPage(Optional<String> section, int from, int limit, String match) {

	private static final int DEFAULT_LIMIT = 100;

	private static final int MAX_LIMIT = 1_000;

	/**
	 * Parses the query parameters of a request.
	 * @param request the request
	 * @return the page; an absent or invalid number gets its default
	 */
	static DumpPage of(WebRequest request) {
		return new DumpPage(request.parameter("section"), number(request, "from", 0),
				Math.min(MAX_LIMIT, number(request, "limit", DEFAULT_LIMIT)), request.parameter("match").orElse(""));
	}

	private static int number(WebRequest request, String name, int defaultValue) {
		return request.parameter(name)
			.filter((text) -> text.matches("\\d{1,8}"))
			.map(Integer::parseInt)
			.orElse(defaultValue);
	}

	/**
	 * Selects the requested part of a dump.
	 * @param dump the complete dump
	 * @return the requested part; a truncated list has its full length next to it, under
	 * its name with the suffix {@code _total}
	 */
	Map<String, Object> select(Map<String, Object> dump) {
		final Map<String, Object> selected = new LinkedHashMap<>();
		dump.forEach((name, value) -> {
			if (this.section.isEmpty() || this.section.get().equals(name)) {
				put(selected, name, value);
			}
		});
		return selected;
	}

	private void put(Map<String, Object> output, String name, Object value) {
		if (value instanceof Collection<?> list) {
			putTruncated(output, name, list.size(), select(list));
		}
		else if (value instanceof Map<?, ?> map) {
			final Map<String, Object> inner = new LinkedHashMap<>();
			select(map.keySet()).forEach((key) -> put(inner, String.valueOf(key), map.get(key)));
			putTruncated(output, name, map.size(), inner);
		}
		else {
			output.put(name, value);
		}
	}

	private static void putTruncated(Map<String, Object> output, String name, int total, Object part) {
		output.put(name, part);
		final int size = (part instanceof Map<?, ?> map) ? map.size() : ((Collection<?>) part).size();
		if (size < total) {
			output.put(name + "_total", total);
		}
	}

	private List<?> select(Collection<?> list) {
		return list.stream()
			.filter((entry) -> entry instanceof String || Json.write(entry).contains(this.match))
			.skip(this.from)
			.limit(this.limit)
			.toList();
	}

}
