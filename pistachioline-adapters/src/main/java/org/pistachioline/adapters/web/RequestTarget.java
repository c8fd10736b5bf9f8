package org.pistachioline.adapters.web;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The target in the first line of a request. Most name a path; the absolute form, which a
 * server must accept, also names the host, which takes precedence over the field
 * {@code Host} (RFC 9112, section 3.2.2).
 *
 * @param pathAndQuery path and query, as the caller wrote them
 * @param host the host and its port, if the target names them
 */
record RequestTarget(String pathAndQuery, Optional<String> host) {

	private static final Pattern ABSOLUTE_FORM = Pattern.compile("https?://([^/?#@]+)((?:[/?][^#]*)?)",
			Pattern.CASE_INSENSITIVE);

	/**
	 * Reads a target. One in another form is its own path, under which nothing is found.
	 * @param text the target
	 * @return what it names
	 */
	static RequestTarget of(String text) {
		if (text.startsWith("/")) {
			return new RequestTarget(text, Optional.empty());
		}
		final Matcher absolute = ABSOLUTE_FORM.matcher(text);
		if (!absolute.matches()) {
			return new RequestTarget(text, Optional.empty());
		}
		final String rest = absolute.group(2);
		return new RequestTarget(rest.startsWith("/") ? rest : "/" + rest, Optional.of(absolute.group(1)));
	}

	/**
	 * Returns the header fields of the request to this target.
	 * @param sent the fields that the caller sent
	 * @return the same fields, with the target's host if it names one
	 */
	HeaderFields headers(HeaderFields sent) {
		return this.host.map((name) -> sent.without("Host"::equalsIgnoreCase).with("Host", name)).orElse(sent);
	}

}
