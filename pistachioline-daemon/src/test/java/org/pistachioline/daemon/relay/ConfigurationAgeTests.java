package org.pistachioline.daemon.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.route.CallerBounds;
import org.pistachioline.core.route.RouteTable;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationAgeTests {

	private long nowNanos = TimeUnit.SECONDS.toNanos(5);

	private RouteTable table = table(3);

	private final ConfigurationAge configuration = new ConfigurationAge(() -> this.table, () -> this.nowNanos);

	@Test
	void theAgeCountsFromTheFirstUseOfAVersion() {
		assertThat(this.configuration.get()).isSameAs(this.table);
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(700);
		this.table = table(3);
		assertThat(this.configuration.ageMillis()).isEqualTo(700);
		this.table = table(4);
		assertThat(this.configuration.ageMillis()).isZero();
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(20);
		assertThat(this.configuration.ageMillis()).isEqualTo(20);
	}

	private static RouteTable table(long version) {
		return new RouteTable(version, List.of(), List.of(), List.of(), CallerBounds.DEFAULT);
	}

}
