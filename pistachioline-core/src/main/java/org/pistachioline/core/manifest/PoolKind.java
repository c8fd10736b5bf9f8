package org.pistachioline.core.manifest;

import java.util.Locale;
import java.util.Optional;

/**
 * The kind of targets in a pool.
 */
public enum PoolKind {

	/** Inference engines, which are combined into replica groups. */
	ENGINE,

	/** HTTP services, where each instance serves requests on its own. */
	SERVICE;

	/**
	 * Returns the name of this kind in manifests.
	 * @return the name in lower case
	 */
	public String manifestName() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a kind by its name in manifests.
	 * @param name the name in lower case
	 * @return the kind, or empty if there is none with this name
	 */
	public static Optional<PoolKind> byManifestName(String name) {
		for (final PoolKind kind : values()) {
			if (kind.manifestName().equals(name)) {
				return Optional.of(kind);
			}
		}
		return Optional.empty();
	}

}
