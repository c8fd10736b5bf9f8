package org.pistachioline.core.error;

/**
 * Failure with an {@link ErrorKind}, thrown or set on a failed {@code CompletableFuture}.
 */
public final class PistachiolineException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ErrorKind kind;

	/**
	 * Creates an exception of a kind, with the kind's message.
	 * @param kind the error kind
	 */
	public PistachiolineException(ErrorKind kind) {
		super(kind.message());
		this.kind = kind;
	}

	/**
	 * Creates an exception of a kind with a cause, with the kind's message.
	 * @param kind the error kind
	 * @param cause the failure that led to it
	 */
	public PistachiolineException(ErrorKind kind, Throwable cause) {
		super(kind.message(), cause);
		this.kind = kind;
	}

	/**
	 * Returns the error kind that determines the error response.
	 * @return the kind
	 */
	public ErrorKind kind() {
		return this.kind;
	}

}
