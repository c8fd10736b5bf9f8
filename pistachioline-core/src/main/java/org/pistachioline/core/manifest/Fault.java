package org.pistachioline.core.manifest;

/**
 * One thing that is wrong with a manifest or with settings.
 *
 * @param place the key, as a dotted path
 * @param found what was found
 * @param allowed what is allowed
 */
public record Fault(String place, String found, String allowed) {

	@Override
	public String toString() {
		return this.place + ": found " + this.found + "; allowed: " + this.allowed;
	}

}
