package org.pistachioline.adapters.web;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Recognizes answers whose bodies the codec can decode.
 * <p>
 * The codec passes the bytes of any other coding on as the body. The field that names the
 * coding is a hop-by-hop field and is not forwarded, so a caller could not decode them.
 */
final class TransferCodings {

	private TransferCodings() {
	}

	/**
	 * Returns whether a body is in chunks, or in no coding at all.
	 * @param headers the header fields of its head
	 * @return whether it is; no other coding is ever asked for
	 */
	static boolean areKnown(HttpHeaders headers) {
		final List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		return codings.stream()
			.allMatch((coding) -> HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding)
					|| HttpHeaderValues.IDENTITY.contentEqualsIgnoreCase(coding));
	}

}
