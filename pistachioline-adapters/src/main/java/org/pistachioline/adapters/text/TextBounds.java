package org.pistachioline.adapters.text;

import com.fasterxml.jackson.core.StreamReadConstraints;

/**
 * Bounds on all structured text that is read, in JSON and in TOML. They are well above
 * what any legitimate text needs; a text that exceeds one is refused with an
 * {@link java.io.IOException}.
 */
public final class TextBounds {

	/** The most levels of objects and arrays within each other. */
	public static final int MAX_DEPTH = 64;

	/** The most characters of a number, exponent included. */
	public static final int MAX_NUMBER_CHARACTERS = 100;

	/** The most characters of a field's name. */
	private static final int MAX_NAME_CHARACTERS = 1_000;

	/** The most characters of a string. */
	private static final int MAX_STRING_CHARACTERS = 8 * 1024 * 1024;

	/** The bounds, as the parsers take them. */
	public static final StreamReadConstraints CONSTRAINTS = StreamReadConstraints.builder()
		.maxNestingDepth(MAX_DEPTH)
		.maxNumberLength(MAX_NUMBER_CHARACTERS)
		.maxNameLength(MAX_NAME_CHARACTERS)
		.maxStringLength(MAX_STRING_CHARACTERS)
		.build();

	private TextBounds() {
	}

}
