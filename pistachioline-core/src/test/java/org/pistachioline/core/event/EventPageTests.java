package org.pistachioline.core.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventPageTests {

	@Test
	void theEventsPageListsExactlyTheEventIds() throws IOException {
		final Path page = Path.of(System.getProperty("repository.root"), "docs", "EVENTS.md");
		assertThat(Files.readAllLines(page).stream().filter((line) -> line.startsWith("| PL-")))
			.containsExactlyElementsOf(Arrays.stream(EventId.values())
				.map((event) -> "| " + event.label() + " | " + event.level() + " | " + event.text() + " |")
				.toList());
	}

	@Test
	void eventNumbersAreUnique() {
		assertThat(Arrays.stream(EventId.values()).map(EventId::number)).doesNotHaveDuplicates();
	}

}
