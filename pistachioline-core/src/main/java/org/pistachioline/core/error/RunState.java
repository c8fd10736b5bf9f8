package org.pistachioline.core.error;

/**
 * States whether a failed request may have been run by a target.
 */
public enum RunState {

	/** No byte of the request was sent to a target. */
	NOT_RUN("not-run"),

	/** A target is known to have run the request. */
	RAN("ran"),

	/** Bytes of the request may have reached a target; whether it ran is not known. */
	UNKNOWN("unknown");

	private final String headerValue;

	RunState(String headerValue) {
		this.headerValue = headerValue;
	}

	/**
	 * Returns the value that stands for this state in the {@code Pistachioline-Run}
	 * header.
	 * @return the header's value
	 */
	public String headerValue() {
		return this.headerValue;
	}

}
