package org.pistachioline.daemon.metrics;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MetricsTests {

	private final Metrics metrics = new Metrics();

	@Test
	void metersAddedBeforeAndAfterTheFirstScrapeAreExposed() {
		this.metrics.gauge("pistachioline.first", "Added before", () -> 1);
		this.metrics.counter("pistachioline.second", "Added before", "all", () -> 2);
		assertThat(this.metrics.scrape()).contains("pistachioline_first 1.0")
			.contains("pistachioline_second_total{kind=\"all\"} 2.0");
		this.metrics.gauge("pistachioline.third", "Added after", "all", () -> 3);
		assertThat(this.metrics.scrape()).contains("pistachioline_first 1.0")
			.contains("pistachioline_third{kind=\"all\"} 3.0");
	}

}
