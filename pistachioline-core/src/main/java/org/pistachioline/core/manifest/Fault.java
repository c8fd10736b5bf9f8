package org.pistachioline.core.manifest;

/**
 * One validation error in a manifest or a settings file.
 *
 * @param path the path of the invalid key, separated by dots
 * @param found the invalid value, or a description of it
 * @param allowed a description of the allowed values
 */
public record Fault(String path, String found, String allowed) {

	@Override
	public String toString() {
		return this.path + ": found " + this.found + "; allowed: " + this.allowed;
	}

}
