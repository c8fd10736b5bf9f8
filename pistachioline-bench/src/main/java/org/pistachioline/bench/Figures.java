package org.pistachioline.bench;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

import org.pistachioline.adapters.http.Json;

/**
 * Prints figures, one line of JSON each.
 */
public final class Figures {

	private final String benchmark;

	private final PrintStream out;

	Figures(String benchmark, PrintStream out) {
		this.benchmark = benchmark;
		this.out = out;
	}

	/**
	 * Prints a figure.
	 * @param name what was measured, with the conditions that matter
	 * @param value the value
	 * @param unit its unit
	 */
	public void print(String name, double value, String unit) {
		final Map<String, Object> line = new LinkedHashMap<>();
		line.put("bench", this.benchmark);
		line.put("figure", name);
		line.put("value", value);
		line.put("unit", unit);
		this.out.println(Json.write(line));
	}

}
