package org.pistachioline.standins.local;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Plain HTTP towards the processes under test.
 */
public final class LocalHttp {

	/** The shared client; HTTP/1.1, as the daemons speak it. */
	public static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final int MOST_CHECKS = 3_000;

	private LocalHttp() {
	}

	/**
	 * Sends a GET.
	 * @param address the address
	 * @param path the path
	 * @return the answer
	 */
	public static HttpResponse<String> get(String address, String path) {
		return send(request(address, path).GET().build());
	}

	/**
	 * Sends a POST with a JSON body.
	 * @param address the address
	 * @param path the path
	 * @param body the body
	 * @param headers names and values, by turns
	 * @return the answer
	 */
	public static HttpResponse<String> post(String address, String path, String body, String... headers) {
		final HttpRequest.Builder builder = request(address, path).POST(HttpRequest.BodyPublishers.ofString(body))
			.header("Content-Type", "application/json");
		if (headers.length > 0) {
			builder.headers(headers);
		}
		return send(builder.build());
	}

	/**
	 * Starts a request with the shared timeout.
	 * @param address the address
	 * @param path the path
	 * @return the request, to be completed
	 */
	public static HttpRequest.Builder request(String address, String path) {
		return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
	}

	private static HttpResponse<String> send(HttpRequest request) {
		try {
			return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new LocalCallException(request.uri().toString(), ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Waits until a condition holds; a process that does not answer does not hold it.
	 * @param what the condition, for the message
	 * @param condition the condition
	 */
	public static void await(String what, BooleanSupplier condition) {
		for (int i = 0; i < MOST_CHECKS; i++) {
			if (holds(condition)) {
				return;
			}
			LockSupport.parkNanos(PAUSE_NANOS);
		}
		throw new IllegalStateException("Waited in vain for " + what);
	}

	private static boolean holds(BooleanSupplier condition) {
		try {
			return condition.getAsBoolean();
		}
		catch (LocalCallException ex) {
			return false;
		}
	}

}
