package org.pistachioline.standins;

import org.apache.pekko.util.ByteString;

/**
 * Where an engine stand-in writes one stream's tokens.
 */
interface StreamSink {

	/**
	 * Offers bytes.
	 * @param bytes the bytes
	 * @return whether they were taken; false where the reader is slow
	 */
	boolean offer(ByteString bytes);

	/**
	 * Returns whether the reader has gone.
	 * @return whether the stream is closed
	 */
	boolean isClosed();

	/**
	 * Ends the stream.
	 */
	void complete();

	/**
	 * Breaks the stream.
	 */
	void fail();

}
