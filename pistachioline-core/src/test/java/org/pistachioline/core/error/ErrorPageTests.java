package org.pistachioline.core.error;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ErrorPageTests {

	@Test
	void theErrorsPageListsExactlyTheErrorKinds() throws IOException {
		final Path page = Path.of(System.getProperty("repository.root"), "docs", "ERRORS.md");
		assertThat(Files.readAllLines(page).stream().filter((line) -> line.startsWith("| `")))
			.containsExactlyElementsOf(Arrays.stream(ErrorKind.values())
				.map((kind) -> "| `" + kind.code() + "` | " + kind.httpStatus() + " | " + kind.runState().headerValue()
						+ " | " + (kind.retryable() ? "yes" : "no") + " | " + kind.message() + " |")
				.toList());
	}

	@Test
	void errorCodesAreUnique() {
		assertThat(Arrays.stream(ErrorKind.values()).map(ErrorKind::code)).doesNotHaveDuplicates();
	}

}
