package org.pistachioline.daemon.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import org.pistachioline.adapters.http.CallMeter;

/**
 * The daemon's meters; docs/METRICS.md lists them.
 * <p>
 * They are registered when somebody asks for them first, as a start whose callers wait
 * has no time for a registry with a hundred meters and the management beans that it
 * reads. Meters only read what the daemon counts anyway, so nothing is missing from what
 * is asked for late.
 */
public final class Metrics {

	// Guarded by this, as the registry is.
	private final List<Consumer<MeterRegistry>> pendingRegistrations = new ArrayList<>();

	private PrometheusMeterRegistry registry;

	// Micrometer keeps what a counter reads only weakly; collected, the counter stays at
	// 0.
	private final List<Supplier<Number>> counterSuppliers = new CopyOnWriteArrayList<>();

	/**
	 * Adds a gauge.
	 * @param name its name
	 * @param description its description
	 * @param value gives its value
	 */
	public void gauge(String name, String description, Supplier<Number> value) {
		add((meters) -> Gauge.builder(name, value).description(description).strongReference(true).register(meters));
	}

	/**
	 * Adds a counter of one kind among several.
	 * @param name its name
	 * @param description its description
	 * @param kind the kind that it counts
	 * @param value gives its value
	 */
	public void counter(String name, String description, String kind, Supplier<Number> value) {
		this.counterSuppliers.add(value);
		add((meters) -> FunctionCounter.builder(name, value, (supplier) -> supplier.get().doubleValue())
			.description(description)
			.tag("kind", kind)
			.register(meters));
	}

	/**
	 * Adds a gauge of one kind among several.
	 * @param name its name
	 * @param description its description
	 * @param kind the kind that it shows
	 * @param value gives its value
	 */
	public void gauge(String name, String description, String kind, Supplier<Number> value) {
		add((meters) -> Gauge.builder(name, value)
			.description(description)
			.tag("kind", kind)
			.strongReference(true)
			.register(meters));
	}

	/**
	 * Adds the meters of the process: memory and processor time.
	 */
	public void addProcessMeters() {
		add(ProcessMeters::bind);
	}

	/**
	 * Adds the meters of the process: memory, processor time and control traffic.
	 * @param calls the counts of calls to the platform and to targets
	 */
	public void addProcessMeters(CallMeter calls) {
		add(ProcessMeters::bind);
		ProcessMeters.bind(this, calls);
	}

	/**
	 * Returns all meters.
	 * @return the text in the Prometheus form
	 */
	public String scrape() {
		return getOrCreateRegistry().scrape();
	}

	private synchronized void add(Consumer<MeterRegistry> meter) {
		if (this.registry != null) {
			meter.accept(this.registry);
		}
		else {
			this.pendingRegistrations.add(meter);
		}
	}

	private synchronized PrometheusMeterRegistry getOrCreateRegistry() {
		if (this.registry == null) {
			this.registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
			this.pendingRegistrations.forEach((meter) -> meter.accept(this.registry));
			this.pendingRegistrations.clear();
		}
		return this.registry;
	}

}
