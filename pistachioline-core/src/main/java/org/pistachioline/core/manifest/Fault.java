package org.pistachioline.core.manifest;

/**
 * One thing that is wrong with a manifest or with settings.
 *
 * @param path the key, as a dotted path
 * @param found what was found
 * @param allowed what is allowed
 */
public record Fault(String path, String found, String allowed) {

	@Override
	public String toString() {
		return this.path + ": found " + this.found + "; allowed: " + this.allowed;
	}

}
