package org.pistachioline.adapters.toml;

/**
 * What values a setting takes.
 */
public enum SettingType {

	/** Any text that is not empty. */
	TEXT("text"),

	/** A host or IP number and a port. */
	ADDRESS("address, host:port"),

	/** Several addresses. */
	ADDRESSES("array of addresses"),

	/** A whole number above 0. */
	WHOLE("whole number above 0"),

	/** {@code true} or {@code false}. */
	FLAG("true or false"),

	/** {@code console} or {@code json}. */
	LOG_FORMAT("console or json");

	private final String description;

	SettingType(String description) {
		this.description = description;
	}

	/**
	 * Returns the description for a person.
	 * @return the description
	 */
	public String description() {
		return this.description;
	}

}
