package org.pistachioline.adapters.toml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsPageTests {

	@Test
	void thePageOfSettingsHasExactlyTheRowsOfTheCatalogue() throws IOException {
		final Path page = Path.of(System.getProperty("repository.root"), "docs", "SETTINGS.md");
		assertThat(Files.readAllLines(page).stream().filter((line) -> line.startsWith("| `")))
			.containsExactlyElementsOf(Arrays.stream(Setting.values())
				.map((setting) -> "| `" + setting.key() + "` | " + setting.type().description() + " | "
						+ ((setting.absent() != null) ? "`" + setting.absent() + "`" : "required") + " | "
						+ setting.since() + " | " + setting.description() + " |")
				.toList());
	}

}
