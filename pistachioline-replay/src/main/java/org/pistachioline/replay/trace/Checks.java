package org.pistachioline.replay.trace;

/**
 * Checks the values of a line and says which key is wrong.
 */
final class Checks {

	private Checks() {
	}

	static void text(String key, String value) {
		if (value == null || value.isEmpty()) {
			throw new IllegalArgumentException(key + " is missing");
		}
	}

	static void between(String key, double value, double least, double most) {
		if (!(value >= least && value <= most)) {
			throw new IllegalArgumentException(key + " is " + value + "; allowed is from " + least + " to " + most);
		}
	}

	static <T> T or(T value, T absent) {
		return (value != null) ? value : absent;
	}

}
