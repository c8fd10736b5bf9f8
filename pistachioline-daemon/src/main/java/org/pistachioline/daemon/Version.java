package org.pistachioline.daemon;

import java.util.Optional;

/**
 * Version of this build, from the manifest of its JAR file.
 */
final class Version {

	private Version() {
	}

	static String current() {
		return Optional.ofNullable(Version.class.getPackage().getImplementationVersion()).orElse("development");
	}

}
