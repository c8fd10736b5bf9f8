package org.pistachioline.daemon.metrics;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import org.pistachioline.adapters.http.CallMeter;

/**
 * The daemon's meters; docs/METRICS.md lists them.
 */
public final class Metrics {

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	// Micrometer keeps what a counter reads only weakly; collected, the counter stays at
	// 0.
	private final List<Supplier<Number>> counted = new CopyOnWriteArrayList<>();

	/**
	 * Adds a gauge.
	 * @param name its name
	 * @param description its description
	 * @param value gives its value
	 */
	public void gauge(String name, String description, Supplier<Number> value) {
		Gauge.builder(name, value).description(description).strongReference(true).register(this.registry);
	}

	/**
	 * Adds a counter of one kind among several.
	 * @param name its name
	 * @param description its description
	 * @param kind the kind that it counts
	 * @param value gives its value
	 */
	public void counter(String name, String description, String kind, Supplier<Number> value) {
		this.counted.add(value);
		FunctionCounter.builder(name, value, (supplier) -> supplier.get().doubleValue())
			.description(description)
			.tag("kind", kind)
			.register(this.registry);
	}

	/**
	 * Adds a gauge of one kind among several.
	 * @param name its name
	 * @param description its description
	 * @param kind the kind that it shows
	 * @param value gives its value
	 */
	public void gauge(String name, String description, String kind, Supplier<Number> value) {
		Gauge.builder(name, value)
			.description(description)
			.tag("kind", kind)
			.strongReference(true)
			.register(this.registry);
	}

	/**
	 * Adds the meters of the process: memory and processor time.
	 */
	public void process() {
		ProcessMeters.bind(this.registry);
	}

	/**
	 * Adds the meters of the process: memory, processor time and control traffic.
	 * @param calls the counts of calls to the platform and to targets
	 */
	public void process(CallMeter calls) {
		ProcessMeters.bind(this.registry);
		ProcessMeters.bind(this, calls);
	}

	/**
	 * Returns all meters.
	 * @return the text in the Prometheus form
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
