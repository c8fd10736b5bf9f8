package org.pistachioline.adapters.platform;

/**
 * Says that an append failed, and whether its entry may have landed all the same.
 */
public final class AppendException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final boolean ambiguous;

	/**
	 * Creates the exception.
	 * @param ambiguous whether the entry may have landed
	 * @param message what happened
	 * @param cause what led to it; null where the log answered
	 */
	public AppendException(boolean ambiguous, String message, Throwable cause) {
		super(message, cause);
		this.ambiguous = ambiguous;
	}

	/**
	 * Returns whether the entry may have landed.
	 * @return whether it may
	 */
	public boolean isAmbiguous() {
		return this.ambiguous;
	}

}
