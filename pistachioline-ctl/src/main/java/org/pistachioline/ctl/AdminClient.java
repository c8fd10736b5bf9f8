package org.pistachioline.ctl;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;

import org.pistachioline.adapters.http.Json;

/**
 * Asks a daemon's operators' address.
 */
final class AdminClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private final HttpClient http = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

	/**
	 * Asks for the state with lists long enough for every daemon of a large fleet.
	 * @param address the operators' address
	 * @return the state
	 * @throws IOException if no answer comes
	 */
	JsonNode dump(String address) throws IOException {
		return dump(address, "limit=1000");
	}

	JsonNode dump(String address, String query) throws IOException {
		return Json.tree(get(address, "/debug/dump?" + query));
	}

	private byte[] get(String address, String path) throws IOException {
		final HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(TIMEOUT)
			.build();
		try {
			final HttpResponse<byte[]> response = this.http.send(request, HttpResponse.BodyHandlers.ofByteArray());
			if (response.statusCode() != 200) {
				throw new IOException(address + " answered " + response.statusCode());
			}
			return response.body();
		}
		catch (ConnectException ex) {
			// Its own message is empty, and an operator at night needs the address.
			throw new IOException(address + " cannot be reached", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

}
