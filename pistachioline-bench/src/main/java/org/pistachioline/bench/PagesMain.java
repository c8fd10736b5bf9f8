package org.pistachioline.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.pistachioline.adapters.toml.ManifestKey;
import org.pistachioline.adapters.toml.Setting;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.metrics.Metric;

/**
 * Rewrites the tables of the pages that a test holds against the code.
 */
public final class PagesMain {

	private PagesMain() {
	}

	/**
	 * Rewrites the tables.
	 * @param args the folder of the pages
	 * @throws IOException if a page cannot be read or written
	 */
	public static void main(String[] args) throws IOException {
		final Path docs = Path.of(args[0]);
		rewrite(docs.resolve("EVENTS.md"),
				Arrays.stream(EventId.values())
					.map((event) -> "| " + event.label() + " | " + event.level() + " | " + event.text() + " |")
					.toList());
		rewrite(docs.resolve("ERRORS.md"), Arrays.stream(ErrorKind.values())
			.map((kind) -> "| `" + kind.code() + "` | " + kind.httpStatus() + " | " + kind.runState().headerValue()
					+ " | " + (kind.retryable() ? "yes" : "no") + " | " + kind.message() + " |")
			.toList());
		rewrite(docs.resolve("SETTINGS.md"),
				Arrays.stream(Setting.values())
					.map((setting) -> "| `" + setting.key() + "` | " + setting.type().description() + " | "
							+ ((setting.absent() != null) ? "`" + setting.absent() + "`" : "required") + " | "
							+ setting.since() + " | " + setting.description() + " |")
					.toList());
		rewrite(docs.resolve("MANIFEST.md"), Arrays.stream(ManifestKey.values()).map(ManifestKey::row).toList());
		rewrite(docs.resolve("METRICS.md"), Arrays.stream(Metric.values()).map(Metric::row).toList());
	}

	private static void rewrite(Path page, List<String> rows) throws IOException {
		final List<String> lines = new ArrayList<>();
		boolean inTable = false;
		for (final String line : Files.readAllLines(page)) {
			if (line.startsWith("| ---")) {
				lines.add(line);
				lines.addAll(rows);
				inTable = true;
			}
			else if (!inTable || !line.startsWith("|")) {
				inTable = false;
				lines.add(line);
			}
		}
		Files.write(page, lines);
	}

}
