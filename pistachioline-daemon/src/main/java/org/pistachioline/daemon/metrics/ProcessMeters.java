package org.pistachioline.daemon.metrics;

import java.util.Locale;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;

import org.pistachioline.adapters.http.CallKind;
import org.pistachioline.adapters.http.CallMeter;

/**
 * Registers the meters of the process: memory, processor time and HTTP calls.
 */
final class ProcessMeters {

	private ProcessMeters() {
	}

	static void bind(MeterRegistry registry) {
		new JvmMemoryMetrics().bindTo(registry);
		new ProcessorMetrics().bindTo(registry);
	}

	static void bind(Metrics metrics, CallMeter meter) {
		for (final CallKind kind : CallKind.values()) {
			final String name = kind.name().toLowerCase(Locale.ROOT);
			metrics.counter("pistachioline.calls", "Calls to the platform and to targets", name,
					() -> meter.calls(kind));
			metrics.counter("pistachioline.call.bytes.sent", "Bytes of calls sent, heads estimated", name,
					() -> meter.sentBytes(kind));
			metrics.counter("pistachioline.call.bytes.received", "Bytes of answers received, heads estimated", name,
					() -> meter.receivedBytes(kind));
		}
	}

}
