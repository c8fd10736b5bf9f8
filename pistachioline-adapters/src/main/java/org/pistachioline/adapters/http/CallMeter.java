package org.pistachioline.adapters.http;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * Counts calls and their bytes by kind, so that a daemon's control traffic is known.
 * <p>
 * Bodies are counted exactly and heads by their usual size; TCP's own bytes are not.
 */
public final class CallMeter {

	private static final int REQUEST_HEAD_BYTES = 30;

	private static final int ANSWER_HEAD_BYTES = 130;

	private final Map<CallKind, Counts> counts = new EnumMap<>(CallKind.class);

	CallMeter() {
		for (final CallKind kind : CallKind.values()) {
			this.counts.put(kind, new Counts(new LongAdder(), new LongAdder(), new LongAdder()));
		}
	}

	void onCall(HttpRequest request) {
		final Counts of = this.counts.get(CallKind.of(request));
		of.calls().increment();
		of.sentBytes()
			.add(REQUEST_HEAD_BYTES + request.getUri().toString().length()
					+ request.entity().getContentLengthOption().orElse(0));
	}

	void onAnswer(HttpRequest request, long bodyBytes) {
		this.counts.get(CallKind.of(request)).receivedBytes().add(ANSWER_HEAD_BYTES + bodyBytes);
	}

	/**
	 * Returns how many calls were made.
	 * @param kind their kind
	 * @return the number of calls
	 */
	public long calls(CallKind kind) {
		return this.counts.get(kind).calls().sum();
	}

	/**
	 * Returns how many bytes were sent.
	 * @param kind the calls' kind
	 * @return the bytes
	 */
	public long sentBytes(CallKind kind) {
		return this.counts.get(kind).sentBytes().sum();
	}

	/**
	 * Returns how many bytes were received.
	 * @param kind the calls' kind
	 * @return the bytes
	 */
	public long receivedBytes(CallKind kind) {
		return this.counts.get(kind).receivedBytes().sum();
	}

	private record Counts(LongAdder calls, LongAdder sentBytes, LongAdder receivedBytes) {
	}

}
