package org.pistachioline.adapters.web;

/**
 * Takes the answer to one request, on the loop's thread: one head, any number of pieces,
 * then one end. It may fail at any point, and nothing comes after that.
 */
public interface AnswerReceiver {

	/**
	 * Called when the request is about to be sent, which may be some time after it was
	 * handed over: its connection has to be made first.
	 * @return whether it is still to be sent; otherwise its connection is closed, and
	 * nothing comes after this
	 */
	default boolean onSending() {
		return true;
	}

	/**
	 * Takes the head.
	 * @param head the head
	 */
	void onHead(AnswerHead head);

	/**
	 * Takes a piece of the body.
	 * @param bytes the piece, which belongs to the receiver
	 */
	void onBytes(byte[] bytes);

	/**
	 * Called when all pieces that have arrived together were handed over.
	 */
	void onBatchEnd();

	/**
	 * Called when the answer has ended in order.
	 */
	void onEnd();

	/**
	 * Called when no answer comes, or no more of it.
	 * @param failure the reason; a
	 * {@link org.pistachioline.adapters.http.NotConnectedException} where no connection
	 * was made, and anything else where the request may have been read
	 */
	void onFailure(Throwable failure);

}
