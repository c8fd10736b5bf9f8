package org.pistachioline.adapters.web;

/**
 * The grammar of a line such as {@code HTTP/1.1 200 OK} (RFC 9112, section 4).
 * <p>
 * The codec takes any number for a status and any word for the protocol. Passed on, the
 * bytes of a server in trouble would become an answer that is no HTTP.
 */
final class StatusLineGrammar implements LineGrammar {

	private static final String PROTOCOL = "HTTP/1.";

	private static final int STATUS_DIGITS = 3;

	private int versionLength;

	private boolean blank;

	private int statusDigits;

	private byte statusClass;

	@Override
	public void begin() {
		this.versionLength = 0;
		this.blank = false;
		this.statusDigits = 0;
	}

	/**
	 * Returns whether the last status line was that of a notice, which another head
	 * follows.
	 * @return whether its status is informational
	 */
	boolean isInformational() {
		return this.statusClass == '1';
	}

	@Override
	public boolean accepts(byte octet) {
		if (this.versionLength <= PROTOCOL.length()) {
			return acceptsInVersion(octet);
		}
		if (Octets.isBlank(octet)) {
			return acceptsBlank();
		}
		if (this.statusDigits < STATUS_DIGITS) {
			return this.blank && acceptsInStatus(octet);
		}
		return this.blank && Octets.isText(octet);
	}

	private boolean acceptsInVersion(byte octet) {
		final int index = this.versionLength++;
		return (index < PROTOCOL.length()) ? octet == PROTOCOL.charAt(index) : Octets.isDigit(octet);
	}

	// A server may separate the parts by several blanks.
	private boolean acceptsBlank() {
		this.blank = true;
		return this.statusDigits == 0 || this.statusDigits == STATUS_DIGITS;
	}

	private boolean acceptsInStatus(byte octet) {
		this.statusDigits++;
		if (this.statusDigits == 1) {
			this.statusClass = octet;
			return octet >= '1' && octet <= '5';
		}
		// A blank must follow the last digit.
		this.blank = this.statusDigits < STATUS_DIGITS;
		return Octets.isDigit(octet);
	}

	@Override
	public boolean mayEnd() {
		return this.versionLength == 0 || this.statusDigits == STATUS_DIGITS;
	}

	@Override
	public AnswerPart part() {
		return AnswerPart.STATUS_LINE;
	}

}
