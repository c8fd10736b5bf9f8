package org.pistachioline.adapters.web;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Recognizes a head that breaks off and continues as the head of another answer, with the
 * status of the one and the id of the other.
 */
final class JoinedHeads {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d( |$)");

	private JoinedHeads() {
	}

	/**
	 * Returns whether a head is certainly made of two.
	 * @param response the head
	 * @param idHeader the header field that names the request; empty if none does
	 * @return whether it is
	 */
	static boolean areIn(HttpResponse response, Optional<String> idHeader) {
		return hasStatusLine(response.status().reasonPhrase())
				|| idHeader.filter((name) -> response.headers().getAll(name).size() > 1).isPresent();
	}

	/**
	 * Returns whether a head may be made of two. A service may also send such a field on
	 * purpose.
	 * @param response the head
	 * @return whether it has a field with a status line in its value
	 */
	static boolean mayBeIn(HttpResponse response) {
		for (final Map.Entry<String, String> field : response.headers()) {
			if (hasStatusLine(field.getValue())) {
				return true;
			}
		}
		return false;
	}

	private static boolean hasStatusLine(String text) {
		return text.contains("HTTP/1.") && STATUS_LINE.matcher(text).find();
	}

}
