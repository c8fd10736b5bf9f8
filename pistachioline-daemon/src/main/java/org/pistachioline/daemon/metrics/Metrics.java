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
 * Meters of a daemon; docs/METRICS.md lists them.
 * <p>
 * The registry, with about a hundred meters and the management beans that it reads, is
 * created at the first scrape, so as not to delay the start of the process. Meters only
 * read values that the daemon maintains anyway, so no count is lost by this.
 */
public final class Metrics {

	// Guarded by this, like the registry.
	private final List<Consumer<MeterRegistry>> pendingRegistrations = new ArrayList<>();

	private PrometheusMeterRegistry registry;

	// Micrometer refers to a counter's supplier only weakly. Without these references it
	// would be collected and the counter stay at 0.
	private final List<Supplier<Number>> counterSuppliers = new CopyOnWriteArrayList<>();

	/**
	 * Adds a gauge without labels.
	 * @param name the meter's name, with dots
	 * @param description the help text
	 * @param value the supplier of the current value
	 */
	public void gauge(String name, String description, Supplier<Number> value) {
		add((meterRegistry) -> Gauge.builder(name, value)
			.description(description)
			.strongReference(true)
			.register(meterRegistry));
	}

	/**
	 * Adds a counter with the label {@code kind}.
	 * @param name the meter's name, with dots
	 * @param description the help text
	 * @param kind the label's value
	 * @param value the supplier of the count, which must never decrease
	 */
	public void counter(String name, String description, String kind, Supplier<Number> value) {
		this.counterSuppliers.add(value);
		add((meterRegistry) -> FunctionCounter.builder(name, value, (supplier) -> supplier.get().doubleValue())
			.description(description)
			.tag("kind", kind)
			.register(meterRegistry));
	}

	/**
	 * Adds a gauge with the label {@code kind}.
	 * @param name the meter's name, with dots
	 * @param description the help text
	 * @param kind the label's value
	 * @param value the supplier of the current value
	 */
	public void gauge(String name, String description, String kind, Supplier<Number> value) {
		add((meterRegistry) -> Gauge.builder(name, value)
			.description(description)
			.tag("kind", kind)
			.strongReference(true)
			.register(meterRegistry));
	}

	/**
	 * Adds the meters of the process: memory and processor time.
	 */
	public void addProcessMeters() {
		add(ProcessMeters::bind);
	}

	/**
	 * Adds the meters of the process: memory, processor time and HTTP calls.
	 * @param calls the counts of calls to the platform and to targets
	 */
	public void addProcessMeters(CallMeter calls) {
		add(ProcessMeters::bind);
		ProcessMeters.bind(this, calls);
	}

	/**
	 * Returns the current values of all meters.
	 * @return the text in the Prometheus text format
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
