package org.pistachioline.core.error;

/**
 * The closed list of error kinds; each row is the whole answer that a caller gets.
 */
public enum ErrorKind {

	/** The body is not the JSON that the call takes. */
	MALFORMED_REQUEST("malformed_request", 400, RunState.NOT_RUN, false, "The request body is not valid."),

	/** No key, or a key that no workspace has. */
	UNAUTHENTICATED("unauthenticated", 401, RunState.NOT_RUN, false, "The key is missing or not known."),

	/** The workspace may not use this model or service. */
	FORBIDDEN("forbidden", 403, RunState.NOT_RUN, false, "The workspace may not call this model or service."),

	/** The model is not declared. */
	UNKNOWN_MODEL("unknown_model", 404, RunState.NOT_RUN, false, "The model is not served here."),

	/** The service is not declared. */
	UNKNOWN_SERVICE("unknown_service", 404, RunState.NOT_RUN, false, "The service is not served here."),

	/** No such path. */
	NOT_FOUND("not_found", 404, RunState.NOT_RUN, false, "There is nothing at this path."),

	/** The path does not take this method. */
	METHOD_NOT_ALLOWED("method_not_allowed", 405, RunState.NOT_RUN, false, "The path does not take this method."),

	/** The caller sent its request too slowly. */
	REQUEST_TIMEOUT("request_timeout", 408, RunState.NOT_RUN, true, "The request arrived too slowly."),

	/** The key was used before with another request. */
	KEY_REUSED("key_reused", 409, RunState.NOT_RUN, false, "The idempotency key was used before with another request."),

	/** Another request with this key is running. */
	KEY_IN_PROGRESS("key_in_progress", 409, RunState.UNKNOWN, true,
			"A request with this idempotency key is in progress."),

	/** The request with this key may have run; its outcome is not known. */
	OUTCOME_UNKNOWN("outcome_unknown", 409, RunState.UNKNOWN, false,
			"A request with this idempotency key may have run; its outcome is not known."),

	/** The key's lifetime has passed. */
	KEY_EXPIRED("key_expired", 410, RunState.UNKNOWN, false, "The idempotency key has expired."),

	/** The body or head is over the limit. */
	REQUEST_TOO_LARGE("request_too_large", 413, RunState.NOT_RUN, false, "The request is over the size limit."),

	/** A non-idempotent operation came without a key. */
	KEY_REQUIRED("key_required", 428, RunState.NOT_RUN, false, "This operation needs an Idempotency-Key header."),

	/** The workspace is over its request rate. */
	RATE_LIMITED("rate_limited", 429, RunState.NOT_RUN, true, "The workspace is over its request rate."),

	/** The workspace has too many tokens in flight. */
	TOKENS_LIMITED("tokens_limited", 429, RunState.NOT_RUN, true, "The workspace has too many tokens in flight."),

	/** The workspace's queue is full. */
	QUEUE_FULL("queue_full", 429, RunState.NOT_RUN, true, "The workspace's queue is full."),

	/** The request could not be started before its deadline. */
	DEADLINE_UNREACHABLE("deadline_unreachable", 503, RunState.NOT_RUN, true,
			"The request cannot be started before its deadline."),

	/** No replica group of the model serves at present. */
	NO_CAPACITY("no_capacity", 503, RunState.NOT_RUN, true, "No replica group serves this model at present."),

	/** The daemon has no configuration yet, or one that is too old. */
	NOT_READY("not_ready", 503, RunState.NOT_RUN, true, "This daemon is not ready; use another address."),

	/** The daemon is leaving. */
	LEAVING("leaving", 503, RunState.NOT_RUN, true, "This daemon is leaving; use another address."),

	/** Claims cannot be made on the log, so a non-idempotent request is refused. */
	CLAIM_UNAVAILABLE("claim_unavailable", 503, RunState.NOT_RUN, true,
			"Non-idempotent requests cannot be accepted at present."),

	/** The request is quarantined since targets crashed under it. */
	QUARANTINED("quarantined", 422, RunState.NOT_RUN, false, "Targets crashed while running this request."),

	/** A target failed and no retry was left. */
	TARGET_FAILED("target_failed", 502, RunState.UNKNOWN, true, "The target failed while running the request."),

	/** The target answered something that does not match the attempt. */
	TARGET_PROTOCOL("target_protocol", 502, RunState.UNKNOWN, true, "The target's answer could not be understood."),

	/** The deadline passed while the request was running. */
	DEADLINE_EXCEEDED("deadline_exceeded", 504, RunState.UNKNOWN, true,
			"The deadline passed while the request was running."),

	/** The caller went away. */
	CALLER_GONE("caller_gone", 499, RunState.UNKNOWN, false, "The caller went away."),

	/** A ring inside the daemon was full. */
	OVERLOADED("overloaded", 503, RunState.NOT_RUN, true, "The daemon is overloaded."),

	/** A fault of the daemon itself. */
	INTERNAL("internal", 500, RunState.UNKNOWN, false, "The daemon failed.");

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private final String code;

	private final int httpStatus;

	private final RunState runState;

	private final boolean retryable;

	private final String message;

	ErrorKind(String code, int httpStatus, RunState runState, boolean retryable, String message) {
		this.code = code;
		this.httpStatus = httpStatus;
		this.runState = runState;
		this.retryable = retryable;
		this.message = message;
	}

	/**
	 * Returns the code in the answer's body.
	 * @return the code, in snake case
	 */
	public String code() {
		return this.code;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns the run state that this kind claims by itself.
	 * @return the run state
	 */
	public RunState runState() {
		return this.runState;
	}

	/**
	 * Returns whether the status tells a caller that its request has not run and never
	 * will, so that it may send a non-idempotent request again.
	 * @return whether it does
	 */
	public boolean promisesNotRun() {
		return this.httpStatus == UNAVAILABLE || this.httpStatus == TOO_MANY_REQUESTS;
	}

	/**
	 * Returns whether the same request may succeed later.
	 * @return whether a caller may retry
	 */
	public boolean retryable() {
		return this.retryable;
	}

	/**
	 * Returns the sentence for a person.
	 * @return the message
	 */
	public String message() {
		return this.message;
	}

	/**
	 * Returns the type in the OpenAI form of an error body.
	 * @return the type
	 */
	public String type() {
		if (this.httpStatus == 429) {
			return "rate_limit_error";
		}
		return (this.httpStatus < 500) ? "invalid_request_error" : "server_error";
	}

}
