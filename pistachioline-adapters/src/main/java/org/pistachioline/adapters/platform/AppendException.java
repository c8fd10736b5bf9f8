package org.pistachioline.adapters.platform;

/**
 * Says that an append failed, and whether its entry may have landed all the same.
 */
public final class AppendException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final AppendFailure failure;

	/**
	 * Creates the exception.
	 * @param failure what the append left on the log
	 * @param message what happened
	 * @param cause what led to it; null where the log answered
	 */
	public AppendException(AppendFailure failure, String message, Throwable cause) {
		super(message, cause);
		this.failure = failure;
	}

	/**
	 * Returns what the append left on the log.
	 * @return the kind of failure
	 */
	public AppendFailure failure() {
		return this.failure;
	}

	/**
	 * Returns whether the entry may have landed.
	 * @return whether it may
	 */
	public boolean isAmbiguous() {
		return this.failure == AppendFailure.AMBIGUOUS;
	}

}
