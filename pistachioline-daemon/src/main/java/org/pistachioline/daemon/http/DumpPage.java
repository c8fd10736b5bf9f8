package org.pistachioline.daemon.http;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.adapters.http.Json;
import org.pistachioline.adapters.web.WebRequest;

/**
 * The part of a dump that an operator asked for.
 * <p>
 * At 1,600 groups of 32 a whole dump is several megabytes, and one asked for at night, by
 * several people at once, would crowd out the daemon's own work. So every list is cut
 * unless it is asked for page by page.
 *
 * @param section the only section wanted; empty for all
 * @param from the first entry of each list
 * @param limit the most entries of each list
 * @param match what the text of an entry contains
 */
record DumpPage(Optional<String> section, int from, int limit, String match) {

	private static final int DEFAULT_LIMIT = 100;

	private static final int MAX_LIMIT = 1_000;

	/**
	 * Reads what is wanted from a request's query.
	 * @param request the request
	 * @return the page; where a number is not valid the usual one is taken
	 */
	static DumpPage of(WebRequest request) {
		return new DumpPage(request.parameter("section"), number(request, "from", 0),
				Math.min(MAX_LIMIT, number(request, "limit", DEFAULT_LIMIT)), request.parameter("match").orElse(""));
	}

	private static int number(WebRequest request, String name, int absent) {
		return request.parameter(name).filter((text) -> text.matches("\\d{1,8}")).map(Integer::parseInt).orElse(absent);
	}

	/**
	 * Cuts a dump.
	 * @param dump the whole dump
	 * @return the wanted part; a list that was cut has its whole length beside it
	 */
	Map<String, Object> select(Map<String, Object> dump) {
		final Map<String, Object> wanted = new LinkedHashMap<>();
		dump.forEach((name, value) -> {
			if (this.section.isEmpty() || this.section.get().equals(name)) {
				put(wanted, name, value);
			}
		});
		return wanted;
	}

	private void put(Map<String, Object> target, String name, Object value) {
		if (value instanceof Collection<?> list) {
			putTruncated(target, name, list.size(), select(list));
		}
		else if (value instanceof Map<?, ?> map) {
			final Map<String, Object> inner = new LinkedHashMap<>();
			select(map.keySet()).forEach((key) -> put(inner, String.valueOf(key), map.get(key)));
			putTruncated(target, name, map.size(), inner);
		}
		else {
			target.put(name, value);
		}
	}

	private static void putTruncated(Map<String, Object> target, String name, int total, Object part) {
		target.put(name, part);
		final int size = (part instanceof Map<?, ?> map) ? map.size() : ((Collection<?>) part).size();
		if (size < total) {
			target.put(name + "_total", total);
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
