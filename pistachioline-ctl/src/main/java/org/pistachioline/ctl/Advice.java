package org.pistachioline.ctl;

import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Properties;

/**
 * What to do about an event or an error, from a file beside this class.
 */
final class Advice {

	private final Properties texts = new Properties();

	Advice() {
		try (InputStream in = Advice.class.getResourceAsStream("advice.properties")) {
			this.texts.load(new InputStreamReader(in, StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	Optional<String> about(String name) {
		return Optional.ofNullable(this.texts.getProperty(name));
	}

}
