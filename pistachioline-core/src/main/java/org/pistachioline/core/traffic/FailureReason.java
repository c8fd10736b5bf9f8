package org.pistachioline.core.traffic;

import java.util.Locale;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.quarantine.SuspectKind;

/**
 * The decision by which a request was failed. Several decisions lead to the same error
 * kind, so logs and metrics also name the reason.
 */
public enum FailureReason {

	/** The deadline passed, or cannot be met any more. */
	DEADLINE,

	/** The request was sent to as many targets as its route allows. */
	ATTEMPTS_USED,

	/** The retry budget allows no further attempt. */
	RETRY_BUDGET_USED,

	/** The last attempt may have run, and the request may run only once. */
	NOT_REPEATABLE,

	/** No serving target is left to which the request may be sent. */
	NO_TARGET,

	/** The request crashes targets. */
	QUARANTINED,

	/** A part of the request's prompt crashes targets. */
	PART_QUARANTINED,

	/** The request was refused before its first attempt. */
	NOT_ADMITTED,

	/** The claim of the request's idempotency key was not granted. */
	CLAIM,

	/** The caller closed its connection. */
	CALLER_DISCONNECTED,

	/** The daemon stopped before the request had ended. */
	DRAIN_ENDED,

	/** The daemon failed the request outside the traffic core. */
	INTERNAL;

	/**
	 * Returns the reason that an error kind implies.
	 * @param kind the kind
	 * @return the reason; {@code INTERNAL} if several decisions lead to the kind
	 */
	static FailureReason of(ErrorKind kind) {
		return switch (kind) {
			case DEADLINE_EXCEEDED, DEADLINE_UNREACHABLE -> DEADLINE;
			case QUARANTINED -> FailureReason.QUARANTINED;
			case CALLER_GONE -> CALLER_DISCONNECTED;
			case KEY_IN_PROGRESS, KEY_REUSED, KEY_EXPIRED, OUTCOME_UNKNOWN, CLAIM_UNAVAILABLE -> CLAIM;
			case NO_CAPACITY, QUEUE_FULL, RATE_LIMITED, TOKENS_LIMITED, OVERLOADED, LEAVING -> NOT_ADMITTED;
			default -> INTERNAL;
		};
	}

	/**
	 * Returns the reason for which a quarantined request is failed.
	 * @param quarantinedBy what is quarantined
	 * @return the reason
	 */
	static FailureReason of(SuspectKind quarantinedBy) {
		return (quarantinedBy == SuspectKind.PROMPT_PART) ? PART_QUARANTINED : FailureReason.QUARANTINED;
	}

	/**
	 * Returns the reason's name in logs and metrics.
	 * @return the name, in lower case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT);
	}

}
