package org.pistachioline.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import org.pistachioline.adapters.toml.InvalidInputException;
import org.pistachioline.adapters.toml.ManifestReader;
import org.pistachioline.core.record.ManifestProposal;

/**
 * Reads a manifest file and prints what is wrong with it.
 */
final class Manifests {

	private Manifests() {
	}

	static Optional<ManifestProposal> read(String file) {
		try {
			return Optional.of(ManifestReader.read(file, Files.readString(Path.of(file))));
		}
		catch (InvalidInputException ex) {
			System.err.println(ex.getMessage());
		}
		catch (IOException ex) {
			System.err.println(file + ": cannot be read: " + ex.getMessage());
		}
		return Optional.empty();
	}

}
