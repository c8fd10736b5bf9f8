package org.pistachioline.adapters.web;

/**
 * What a line of an answer may hold, one byte after the other. The end of the line does
 * not belong to it.
 */
interface LineGrammar {

	/**
	 * Begins a line.
	 */
	void begin();

	/**
	 * Takes the next byte.
	 * @param octet the byte
	 * @return whether the line may hold it in this place
	 */
	boolean accepts(byte octet);

	/**
	 * Returns whether the line may end behind the bytes until now.
	 * @return whether it may; an empty line, too
	 */
	boolean mayEnd();

	/**
	 * Returns which part of the answer the next byte belongs to.
	 * @return the part
	 */
	AnswerPart part();

}
