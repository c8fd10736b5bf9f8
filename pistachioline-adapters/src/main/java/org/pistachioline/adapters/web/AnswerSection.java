package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;

/**
 * A section of an answer, its head or its body, whose end is found before the codec gets
 * its bytes.
 */
interface AnswerSection {

	/**
	 * Scans received bytes up to the section's end, without consuming them.
	 * @param received the bytes
	 * @param from the index of the first byte to scan
	 * @return the index behind the last byte that belongs to the section
	 * @throws MalformedAnswerException if the bytes break the grammar
	 */
	int scan(ByteBuf received, int from) throws MalformedAnswerException;

	/**
	 * Returns whether the end was found.
	 * @return whether further bytes belong to another section
	 */
	boolean hasEnded();

}
