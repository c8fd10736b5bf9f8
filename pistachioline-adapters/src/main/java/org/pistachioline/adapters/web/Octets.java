package org.pistachioline.adapters.web;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The sets of bytes from which the grammar of HTTP is made (RFC 9110, section 5.6), with
 * a character for each byte.
 */
final class Octets {

	static final String DIGITS = "0123456789";

	static final String HEX_DIGITS = DIGITS + "ABCDEFabcdef";

	static final String BLANKS = " \t";

	/** What a name may hold. */
	static final String TOKEN = "!#$%&'*+-.^_`|~" + DIGITS + "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			+ "abcdefghijklmnopqrstuvwxyz";

	/**
	 * What a reason or a value may hold: no control bytes but the tab. Bytes outside
	 * ASCII have no meaning and do no harm there.
	 */
	static final String TEXT = "\t" + range(0x20, 0x7e) + range(0x80, 0xff);

	private Octets() {
	}

	private static String range(int first, int last) {
		return IntStream.rangeClosed(first, last).mapToObj(Character::toString).collect(Collectors.joining());
	}

}
