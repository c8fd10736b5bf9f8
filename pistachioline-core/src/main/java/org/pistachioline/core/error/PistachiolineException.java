package org.pistachioline.core.error;

/**
 * Carries an error kind through a failed {@code CompletableFuture}.
 */
public final class PistachiolineException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ErrorKind kind;

	/**
	 * Creates a failure of the given kind.
	 * @param kind the error kind
	 */
	public PistachiolineException(ErrorKind kind) {
		super(kind.message());
		this.kind = kind;
	}

	/**
	 * Creates a failure of the given kind with a cause.
	 * @param kind the error kind
	 * @param cause what led to it
	 */
	public PistachiolineException(ErrorKind kind, Throwable cause) {
		super(kind.message(), cause);
		this.kind = kind;
	}

	/**
	 * Returns the error kind.
	 * @return the kind
	 */
	public ErrorKind kind() {
		return this.kind;
	}

}
