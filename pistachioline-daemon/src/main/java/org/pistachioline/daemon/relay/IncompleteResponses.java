package org.pistachioline.daemon.relay;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.pistachioline.adapters.web.CloseCause;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.traffic.FailureReason;
import org.pistachioline.daemon.event.Events;

/**
 * Logs and counts the responses that the daemon ended before they were complete.
 */
public final class IncompleteResponses {

	/** The codes of all reasons, of the traffic core and of closed connections. */
	public static final List<String> REASONS = Stream
		.concat(Arrays.stream(FailureReason.values()).map(FailureReason::code),
				Arrays.stream(CloseCause.values()).map(CloseCause::code))
		.toList();

	private final Map<String, AtomicLong> countsByReason = Collections
		.unmodifiableMap(REASONS.stream().collect(Collectors.toMap(Function.identity(), (reason) -> new AtomicLong())));

	private final AtomicLong oversizedCount = new AtomicLong();

	private final ConfigurationAge configuration;

	/**
	 * Creates the log with all counts at 0.
	 * @param configuration the configuration in force
	 */
	IncompleteResponses(ConfigurationAge configuration) {
		this.configuration = configuration;
	}

	void log(IncompleteResponse incomplete) {
		this.countsByReason.get(incomplete.reason()).incrementAndGet();
		Events.log(EventId.RESPONSE_INCOMPLETE,
				incomplete.fields(this.configuration.get().version(), this.configuration.ageMillis()));
	}

	void logOversized(String requestId, String targetId, String part, OversizeBound bound) {
		this.oversizedCount.incrementAndGet();
		Events.log(EventId.RESPONSE_OVERSIZED, "request", requestId, "target", targetId, "part", part, "bound",
				bound.code());
	}

	/**
	 * Returns the number of responses of targets that were too large; any thread may ask.
	 * @return the number since the start
	 */
	long oversizedCount() {
		return this.oversizedCount.get();
	}

	/**
	 * Returns the number of incomplete responses; any thread may ask.
	 * @param reason the code of the reason
	 * @return the number since the start
	 */
	long count(String reason) {
		return this.countsByReason.get(reason).get();
	}

}
