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
	 * Called when the caller has begun or ceased to take more.
	 * @param writable whether it takes more now
	 */
	void onWritable(boolean writable);

}
