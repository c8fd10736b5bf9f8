package org.pistachioline.adapters.web;

/**
 * A request and the receiver of its answer, on its way over one connection.
 */
final class ClientCall implements WebCall {

	private final WebRequest request;

	private final AnswerReceiver receiver;

	private final ClientConnection connection;

	private final ConnectionUse connectionUse;

	private boolean over;

	ClientCall(WebRequest request, AnswerReceiver receiver, ClientConnection connection) {
		this.request = request;
		this.receiver = receiver;
		this.connection = connection;
		this.connectionUse = connection.use();
	}

	WebRequest request() {
		return this.request;
	}

	@Override
	public ConnectionUse connection() {
		return this.connectionUse;
	}

	boolean sending() {
		return !this.over && this.receiver.onSending();
	}

	void head(AnswerHead head) {
		if (!this.over) {
			this.receiver.onHead(head);
		}
	}

	void bytes(byte[] bytes) {
		if (!this.over) {
			this.receiver.onBytes(bytes);
		}
	}

	void batchEnd() {
		if (!this.over) {
			this.receiver.onBatchEnd();
		}
	}

	void end() {
		if (!this.over) {
			this.over = true;
			this.receiver.onEnd();
		}
	}

	void fail(Throwable failure) {
		if (!this.over) {
			this.over = true;
			this.receiver.onFailure(failure);
		}
	}

	// An answer that has ended may have given its connection to another request.
	@Override
	public void abort() {
		if (!this.over) {
			this.over = true;
			this.connection.abort();
		}
	}

	@Override
	public void reading(boolean wanted) {
		if (!this.over) {
			this.connection.reading(wanted);
		}
	}

}
