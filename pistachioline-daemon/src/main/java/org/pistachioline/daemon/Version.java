package org.pistachioline.daemon;

import java.util.Optional;

/**
 * The version of this build.
 */
final class Version {

	private Version() {
	}

	static String current() {
		return Optional.ofNullable(Version.class.getPackage().getImplementationVersion()).orElse("development");
	}

}
