package org.pistachioline.core.manifest;

import java.util.Locale;
import java.util.Optional;

/**
 * What the targets of a pool are.
 */
public enum PoolKind {

	/** Model engines, which form replica groups. */
	ENGINE,

	/** Plain services, which serve one by one. */
	SERVICE;

	/**
	 * Returns the name in manifests.
	 * @return the name in lower case
	 */
	public String manifestName() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a kind by its name in manifests.
	 * @param name the name
	 * @return the kind, if the name is one
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
