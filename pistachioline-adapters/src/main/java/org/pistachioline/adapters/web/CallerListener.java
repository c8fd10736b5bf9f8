package org.pistachioline.adapters.web;

/**
 * Hears of the caller that waits for an answer, on the loop's thread.
 */
public interface CallerListener {

	/**
	 * Called when the connection has closed before the answer's end.
	 */
	void onGone();

	/**
	 * Called before this process closes the connection without the answer's end;
	 * {@link #onGone()} follows.
	 * @param cause why it closes it
	 */
	default void onClosing(CloseCause cause) {
		// By default only the close itself matters.
	}

	/**
	 * Called when the caller has begun or ceased to take more.
	 * @param writable whether it takes more now
	 */
	void onWritable(boolean writable);

}
