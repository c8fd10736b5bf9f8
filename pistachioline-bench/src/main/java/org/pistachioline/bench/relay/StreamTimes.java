package org.pistachioline.bench.relay;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * The times that callers see on their streams, in microseconds.
 */
final class StreamTimes {

	private static final int DIGITS = 3;

	private final Histogram firstToken = new ConcurrentHistogram(DIGITS);

	private final Histogram betweenTokens = new ConcurrentHistogram(DIGITS);

	private final LongAdder tokens = new LongAdder();

	private final LongAdder requests = new LongAdder();

	private final LongAdder failures = new LongAdder();

	void onFirstToken(long nanos) {
		this.firstToken.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos));
	}

	void onTokens(int count, long sinceLastNanos) {
		this.betweenTokens.recordValue(TimeUnit.NANOSECONDS.toMicros(sinceLastNanos));
		if (count > 1) {
			this.betweenTokens.recordValueWithCount(0, count - 1L);
		}
	}

	void countTokens(int count) {
		this.tokens.add(count);
	}

	void onEnd(boolean whole) {
		(whole ? this.requests : this.failures).increment();
	}

	long firstTokenMicros(double percentile) {
		return this.firstToken.getValueAtPercentile(percentile);
	}

	long betweenTokensMicros(double percentile) {
		return this.betweenTokens.getValueAtPercentile(percentile);
	}

	long tokens() {
		return this.tokens.sum();
	}

	long requests() {
		return this.requests.sum();
	}

	long failures() {
		return this.failures.sum();
	}

}
