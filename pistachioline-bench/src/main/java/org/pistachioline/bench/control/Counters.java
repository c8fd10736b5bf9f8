package org.pistachioline.bench.control;

import java.util.Map;
import java.util.TreeMap;

import org.pistachioline.standins.local.LocalDaemon;
import org.pistachioline.standins.local.LocalHttp;

/**
 * The counters of a daemon at a moment, by name and kind.
 *
 * @param values the values
 */
record Counters(Map<String, Double> values) {

	static Counters of(LocalDaemon daemon) {
		final Map<String, Double> values = new TreeMap<>();
		for (final String line : LocalHttp.get(daemon.admin(), "/metrics").body().split("\n")) {
			final int end = line.lastIndexOf(' ');
			if (line.startsWith("pistachioline_") && line.contains("_total{") && end > 0) {
				values.put(line.substring("pistachioline_".length(), end), Double.valueOf(line.substring(end + 1)));
			}
		}
		return new Counters(values);
	}

	double since(Counters before, String name) {
		return this.values.getOrDefault(name, 0.0) - before.values.getOrDefault(name, 0.0);
	}

}
