package org.pistachioline.adapters.toml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ManifestPageTests {

	private static final Path ROOT = Path.of(System.getProperty("repository.root"));

	@Test
	void thePageOfManifestsHasExactlyTheRowsOfTheCatalogue() throws IOException {
		assertThat(
				Files.readAllLines(ROOT.resolve("docs/MANIFEST.md")).stream().filter((line) -> line.startsWith("| `")))
			.containsExactlyElementsOf(Arrays.stream(ManifestKey.values()).map(ManifestKey::row).toList());
	}

	@Test
	void theTopOfAManifestHasItsOwnKeyAndTheTables() {
		assertThat(ManifestKey.under("")).containsExactlyInAnyOrder("base_version", "weights", "deadlines", "pools",
				"models", "services", "workspaces");
		assertThat(ManifestKey.under("services")).containsExactlyInAnyOrder("name", "pool", "timeout_seconds",
				"operations");
	}

	@Test
	void everySampleManifestIsValid() throws Exception {
		for (final String sample : List.of("quickstart", "peachtree", "inspectorate")) {
			final Path file = ROOT.resolve("samples").resolve(sample).resolve("manifest.toml");
			assertThat(ManifestReader.read(sample, Files.readString(file)).manifest().models()).isNotEmpty();
		}
	}

}
