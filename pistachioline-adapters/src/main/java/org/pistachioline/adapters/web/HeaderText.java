package org.pistachioline.adapters.web;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Converts between text and the value of a header field.
 * <p>
 * A value consists of octets (RFC 9110, section 5.5), and {@link HeaderFields} holds one
 * character for each. Text is written as UTF-8. What cannot be written whole is not
 * written at all: replaced characters would make one name into another.
 */
public final class HeaderText {

	private static final int MAX_OCTET = 0xff;

	private static final char DELETE = 0x7f;

	private HeaderText() {
	}

	/**
	 * Returns the value that holds a text.
	 * @param text the text
	 * @return the value; empty if no value holds this text, because it is empty, has
	 * control characters, a blank at an end, or half of a surrogate pair
	 */
	public static Optional<String> encode(String text) {
		final boolean lost = text.isEmpty() || text.startsWith(" ") || text.endsWith(" ");
		if (lost || text.chars().anyMatch(HeaderText::isControl)) {
			return Optional.empty();
		}
		try {
			final ByteBuffer octets = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
			return Optional.of(StandardCharsets.ISO_8859_1.decode(octets).toString());
		}
		catch (CharacterCodingException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns the text that a value holds.
	 * @param value the value
	 * @return the text; a value that is not UTF-8 is read as ISO 8859-1
	 */
	public static String decode(String value) {
		try {
			return StandardCharsets.UTF_8.newDecoder()
				.decode(StandardCharsets.ISO_8859_1.newEncoder().encode(CharBuffer.wrap(value)))
				.toString();
		}
		catch (CharacterCodingException ex) {
			return value;
		}
	}

	/**
	 * Checks that each character of a value stands for one octet.
	 * @param value the value
	 * @return the same value
	 */
	static String requireOctets(String value) {
		if (value.chars().anyMatch((c) -> c > MAX_OCTET)) {
			throw new IllegalArgumentException("A header value has characters that are no octets");
		}
		return value;
	}

	private static boolean isControl(int character) {
		return character < ' ' || character == DELETE;
	}

}
