package org.pistachioline.adapters.web;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * A whole request.
 *
 * @param method the method
 * @param target path and query, as the request's first line names them
 * @param headers the header fields; those that frame the body are written anew
 * @param body the body
 * @param idHeader the name of the header field that identifies the request and that the
 * server repeats in its answer; empty if there is none
 */
public record WebRequest(String method, String target, HeaderFields headers, Body body, Optional<String> idHeader) {

	/**
	 * Creates a request whose answer does not name it.
	 * @param method the method
	 * @param target path and query
	 * @param headers the header fields
	 * @param body the body
	 */
	public WebRequest(String method, String target, HeaderFields headers, Body body) {
		this(method, target, headers, body, Optional.empty());
	}

	/**
	 * Creates a request without a body.
	 * @param target path and query
	 * @param headers the header fields
	 * @return the request
	 */
	public static WebRequest get(String target, HeaderFields headers) {
		return new WebRequest("GET", target, headers, Body.EMPTY);
	}

	/**
	 * Creates a request with JSON as its body.
	 * @param target path and query
	 * @param headers further header fields
	 * @param json the body
	 * @return the request
	 */
	public static WebRequest post(String target, HeaderFields headers, String json) {
		return new WebRequest("POST", target, headers.with("Content-Type", "application/json"), Body.of(json));
	}

	/**
	 * Returns the same request, identified by a header field.
	 * @param name the field's name
	 * @return the request
	 */
	public WebRequest identifiedBy(String name) {
		return new WebRequest(this.method, this.target, this.headers, this.body, Optional.of(name));
	}

	/**
	 * Returns the id that the server repeats in its answer.
	 * @return the id; empty if the answer does not name the request
	 */
	public Optional<String> id() {
		return this.idHeader.flatMap(this.headers::first);
	}

	/**
	 * Returns the path.
	 * @return the target without its query
	 */
	public String path() {
		final int query = this.target.indexOf('?');
		return (query >= 0) ? this.target.substring(0, query) : this.target;
	}

	/**
	 * Returns a parameter of the query.
	 * @param name its name
	 * @return its first value; empty where there is none
	 */
	public Optional<String> parameter(String name) {
		final Map<String, List<String>> parameters = new QueryStringDecoder(this.target).parameters();
		return Optional.ofNullable(parameters.get(name)).map((values) -> values.get(0));
	}

}
