package org.pistachioline.adapters.web;

/**
 * The classes of bytes from which the grammar of HTTP is made (RFC 9110, section 5.6).
 */
final class Octets {

	private static final byte DELETE = 0x7f;

	private Octets() {
	}

	static boolean isDigit(byte octet) {
		return octet >= '0' && octet <= '9';
	}

	static boolean isBlank(byte octet) {
		return octet == ' ' || octet == '\t';
	}

	/**
	 * Returns whether a text, such as a reason or a value, may hold a byte. Bytes outside
	 * ASCII, which are negative, have no meaning and do no harm there.
	 * @param octet the byte
	 * @return whether it is no control byte, or a tab
	 */
	static boolean isText(byte octet) {
		return octet < 0 || (octet >= ' ' && octet != DELETE) || octet == '\t';
	}

}
