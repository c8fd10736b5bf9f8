package org.pistachioline.adapters.web;

/**
 * Takes the one answer to a request: whole, or a head, pieces and an end. Its methods are
 * called on the loop's thread, and do nothing once the caller has left.
 */
public interface WebReply {

	/**
	 * Gives a whole answer.
	 * @param answer the answer
	 */
	void whole(WebAnswer answer);

	/**
	 * Begins an answer in pieces.
	 * @param head its head
	 */
	void begin(AnswerHead head);

	/**
	 * Adds a piece; it leaves with the next flush.
	 * @param bytes the piece, which must not change any more
	 * @param offset where the piece begins
	 * @param length its length in bytes
	 */
	void piece(byte[] bytes, int offset, int length);

	/**
	 * Sends the pieces that were added.
	 */
	void flush();

	/**
	 * Ends an answer in pieces in order.
	 */
	void end();

	/**
	 * Breaks an answer in pieces off, so that it does not look complete.
	 */
	void breakOff();

	/**
	 * Returns whether the caller takes more now. Pieces are kept all the same, so who
	 * goes on adding them fills the memory.
	 * @return whether it does
	 */
	boolean writable();

	/**
	 * Returns whether the caller still waits for the answer, as far as this machine can
	 * know. What has come from it meanwhile is read first, since a loop that runs late
	 * would find a close only in its next turn.
	 * @return whether it does
	 */
	boolean callerWaits();

	/**
	 * Returns when the request was read whole, since when it may have waited for the
	 * loop.
	 * @return the monotonic time, in nanoseconds
	 */
	long arrivedAtNanos();

	/**
	 * Counts bytes that are kept for the answer before it is given.
	 * @param bytes the number of further bytes; negative for bytes that are kept no
	 * longer
	 */
	void hold(int bytes);

	/**
	 * Sets who hears of the caller; called before the answer begins.
	 * @param listener hears it
	 */
	void listen(CallerListener listener);

}
