package org.pistachioline.daemon.metrics;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MetricsPageTests {

	@Test
	void theMetricsPageListsExactlyTheMetrics() throws IOException {
		final Path page = Path.of(System.getProperty("repository.root"), "docs", "METRICS.md");
		assertThat(Files.readAllLines(page).stream().filter((line) -> line.startsWith("| `pistachioline_")))
			.containsExactlyElementsOf(Arrays.stream(Metric.values()).map(Metric::row).toList());
	}

}
