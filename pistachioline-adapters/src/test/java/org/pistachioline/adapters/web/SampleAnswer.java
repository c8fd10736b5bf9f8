package org.pistachioline.adapters.web;

/**
 * Answers that servers may give, by how they say where they end.
 */
enum SampleAnswer {

	/** Ends after a length that stands last in the head. */
	LENGTH("HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 4\r\n\r\n", "some"),

	/** Has the length before other fields. */
	EARLY_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nResponse-Signature: abc\r\n\r\n", "some"),

	/** Has the length zero. */
	EMPTY("HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 0\r\n\r\n", ""),

	/** Comes in chunks, with an extension and trailers. */
	CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "some") {

		@Override
		String encodedBody() {
			return "2;a=b\r\nso\r\n2\r\nme\r\n0\r\nTrailer: c\r\n\r\n";
		}

	},

	/** Comes behind interim answers. */
	AFTER_INTERIM("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
			+ "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "some"),

	/** Is a stream of events in chunks. */
	STREAM_IN_CHUNKS("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			"id: 1\n\n") {

		@Override
		String encodedBody() {
			return "7\r\nid: 1\n\n\r\n0\r\n\r\n";
		}

	},

	/** Ends with its connection. */
	UNFRAMED("HTTP/1.1 200 OK\r\nServer: a\r\n\r\n", "some") {

		@Override
		int leastBytes() {
			return text().length() - body().length();
		}

	};

	private final String head;

	private final String body;

	SampleAnswer(String head, String body) {
		this.head = head;
		this.body = body;
	}

	String body() {
		return this.body;
	}

	String encodedBody() {
		return this.body;
	}

	String text() {
		return this.head + encodedBody();
	}

	String start(int bytes) {
		return text().substring(0, bytes);
	}

	/**
	 * Returns from how many bytes on the answer is complete once its connection is closed
	 * in order.
	 * @return the number of bytes
	 */
	int leastBytes() {
		return text().length();
	}

}
