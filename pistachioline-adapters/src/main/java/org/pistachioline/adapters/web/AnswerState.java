package org.pistachioline.adapters.web;

import java.util.Arrays;

/**
 * What may come next in the head of an answer and in the lines around its chunks, by the
 * grammar of HTTP (RFC 9112, sections 4, 5 and 7.1). It is a table, as each byte of each
 * head is looked up in it.
 * <p>
 * The codec accepts any number as a status. It ends a field name at the first blank and
 * ignores the rest up to the colon, so {@code Content-Length x: 4} would truncate the
 * body, and it appends a line that begins with a blank to the previous value. A proxy may
 * repair a blank before the colon and a folded line, or reject the answer. Both are
 * rejected here: a server that follows the grammar sends neither.
 */
enum AnswerState {

	/** Before the head, where servers may send empty lines. */
	BEFORE_HEAD(AnswerPart.STATUS_LINE),

	/** Behind the carriage return of such a line. */
	BEFORE_HEAD_RETURN(AnswerPart.STATUS_LINE),

	/** Behind a part of the protocol's name and major version. */
	H(AnswerPart.STATUS_LINE), HT(AnswerPart.STATUS_LINE), HTT(AnswerPart.STATUS_LINE), HTTP(AnswerPart.STATUS_LINE),
	HTTP_SLASH(AnswerPart.STATUS_LINE), HTTP_MAJOR(AnswerPart.STATUS_LINE), HTTP_DOT(AnswerPart.STATUS_LINE),

	/** Behind the version. */
	VERSION(AnswerPart.STATUS_LINE),

	/** Between the version and the status. */
	STATUS_GAP(AnswerPart.STATUS_LINE),

	/**
	 * Behind the first digit of an informational status, whose head another one follows.
	 */
	INTERIM_STATUS(AnswerPart.STATUS_LINE),

	/** Behind the first digit of any other status. */
	FINAL_STATUS(AnswerPart.STATUS_LINE),

	/** Behind the second digit. */
	STATUS_2(AnswerPart.STATUS_LINE),

	/** Behind the third digit. */
	STATUS_3(AnswerPart.STATUS_LINE),

	/** In the reason. */
	REASON(AnswerPart.STATUS_LINE),

	/** Behind the carriage return of a status line. */
	STATUS_LINE_RETURN(AnswerPart.STATUS_LINE),

	/** Where a field or the empty line behind all of them begins. */
	FIELD(AnswerPart.FIELD_NAME),

	/** In the name of a field. */
	NAME(AnswerPart.FIELD_NAME),

	/** In the value of a field. */
	VALUE(AnswerPart.FIELD_VALUE),

	/** Behind the carriage return of a field. */
	FIELD_RETURN(AnswerPart.FIELD_VALUE),

	/** Behind the carriage return of the empty line. */
	FIELDS_RETURN(AnswerPart.FIELD_NAME),

	/** Behind the empty line. */
	FIELDS_END(AnswerPart.FIELD_NAME),

	/** Where the size of a chunk begins. */
	CHUNK_SIZE_BEGIN(AnswerPart.CHUNK),

	/** In the size of a chunk. */
	CHUNK_SIZE(AnswerPart.CHUNK),

	/** Between the size and an extension. */
	CHUNK_EXTENSION_GAP(AnswerPart.CHUNK),

	/** In the extensions of a chunk. */
	CHUNK_EXTENSION(AnswerPart.CHUNK),

	/** Behind the carriage return of the line with the size. */
	CHUNK_SIZE_RETURN(AnswerPart.CHUNK),

	/** Behind the line with the size. */
	CHUNK_BYTES(AnswerPart.CHUNK),

	/** Behind the bytes of a chunk. */
	CHUNK_END(AnswerPart.CHUNK),

	/** Behind the carriage return that follows these. */
	CHUNK_END_RETURN(AnswerPart.CHUNK),

	/** Behind a byte that the grammar does not allow. */
	MALFORMED(AnswerPart.STATUS_LINE);

	static {
		for (final AnswerState state : values()) {
			Arrays.fill(state.next, MALFORMED);
		}
		BEFORE_HEAD.onLineEnd(BEFORE_HEAD_RETURN, BEFORE_HEAD).on('H', H);
		H.on('T', HT);
		HT.on('T', HTT);
		HTT.on('P', HTTP);
		HTTP.on('/', HTTP_SLASH);
		HTTP_SLASH.on('1', HTTP_MAJOR);
		HTTP_MAJOR.on('.', HTTP_DOT);
		HTTP_DOT.on(Octets.DIGITS, VERSION);
		VERSION.on(Octets.BLANKS, STATUS_GAP);
		STATUS_GAP.on(Octets.BLANKS, STATUS_GAP).on('1', INTERIM_STATUS).on("2345", FINAL_STATUS);
		INTERIM_STATUS.on(Octets.DIGITS, STATUS_2);
		FINAL_STATUS.on(Octets.DIGITS, STATUS_2);
		STATUS_2.on(Octets.DIGITS, STATUS_3);
		STATUS_3.on(Octets.BLANKS, REASON).onLineEnd(STATUS_LINE_RETURN, FIELD);
		REASON.on(Octets.TEXT, REASON).onLineEnd(STATUS_LINE_RETURN, FIELD);
		FIELD.on(Octets.TOKEN, NAME).onLineEnd(FIELDS_RETURN, FIELDS_END);
		NAME.on(Octets.TOKEN, NAME).on(':', VALUE);
		VALUE.on(Octets.TEXT, VALUE).onLineEnd(FIELD_RETURN, FIELD);
		CHUNK_SIZE_BEGIN.on(Octets.HEX_DIGITS, CHUNK_SIZE);
		CHUNK_SIZE.on(Octets.HEX_DIGITS, CHUNK_SIZE)
			.on(Octets.BLANKS, CHUNK_EXTENSION_GAP)
			.on(';', CHUNK_EXTENSION)
			.onLineEnd(CHUNK_SIZE_RETURN, CHUNK_BYTES);
		CHUNK_EXTENSION_GAP.on(Octets.BLANKS, CHUNK_EXTENSION_GAP).on(';', CHUNK_EXTENSION);
		CHUNK_EXTENSION.on(Octets.TEXT, CHUNK_EXTENSION).onLineEnd(CHUNK_SIZE_RETURN, CHUNK_BYTES);
		CHUNK_END.onLineEnd(CHUNK_END_RETURN, CHUNK_SIZE_BEGIN);
	}

	private static final int OCTETS = 256;

	private static final int MASK = 0xff;

	private final AnswerPart part;

	private final AnswerState[] next = new AnswerState[OCTETS];

	AnswerState(AnswerPart part) {
		this.part = part;
	}

	private AnswerState on(char octet, AnswerState to) {
		this.next[octet] = to;
		return this;
	}

	private AnswerState on(String octets, AnswerState to) {
		octets.chars().forEach((octet) -> this.next[octet] = to);
		return this;
	}

	// Whether a line feed may end a line alone is left to the codec.
	private AnswerState onLineEnd(AnswerState behindReturn, AnswerState behindLine) {
		behindReturn.on('\n', behindLine);
		return on('\r', behindReturn).on('\n', behindLine);
	}

	/**
	 * Returns the state behind the next byte.
	 * @param octet the byte
	 * @return the state; {@link #MALFORMED} if the grammar does not allow the byte here
	 */
	AnswerState after(byte octet) {
		return this.next[octet & MASK];
	}

	/**
	 * Returns which part of the answer the next byte belongs to.
	 * @return the part
	 */
	AnswerPart part() {
		return this.part;
	}

}
