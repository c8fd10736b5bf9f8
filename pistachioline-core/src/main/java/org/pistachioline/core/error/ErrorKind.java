package org.pistachioline.core.error;

/**
 * Closed set of the errors that callers can get. Each kind defines the code, HTTP status,
 * run state and message of its error response; docs/ERRORS.md lists them.
 */
public enum ErrorKind {

	/** The body is not the JSON that the path expects. */
	MALFORMED_REQUEST("malformed_request", 400, RunState.NOT_RUN, false, "The request body is not valid."),

	/** The request has no API key, or one that belongs to no workspace. */
	UNAUTHENTICATED("unauthenticated", 401, RunState.NOT_RUN, false, "The key is missing or not known."),

	/** The manifest does not allow the workspace to use this model or service. */
	FORBIDDEN("forbidden", 403, RunState.NOT_RUN, false, "The workspace may not call this model or service."),

	/** The configuration declares no such model. */
	UNKNOWN_MODEL("unknown_model", 404, RunState.NOT_RUN, false, "The model is not served here."),

	/** The configuration declares no such service. */
	UNKNOWN_SERVICE("unknown_service", 404, RunState.NOT_RUN, false, "The service is not served here."),

	/** The daemon serves nothing at this path. */
	NOT_FOUND("not_found", 404, RunState.NOT_RUN, false, "There is nothing at this path."),

	/** The path exists, but not with this HTTP method. */
	METHOD_NOT_ALLOWED("method_not_allowed", 405, RunState.NOT_RUN, false, "The path does not take this method."),

	/** The caller did not send its whole request in time. */
	REQUEST_TIMEOUT("request_timeout", 408, RunState.NOT_RUN, true, "The request arrived too slowly."),

	/** The idempotency key was used before with a request of other content. */
	KEY_REUSED("key_reused", 409, RunState.NOT_RUN, false, "The idempotency key was used before with another request."),

	/** Another request with this idempotency key has not ended yet. */
	KEY_IN_PROGRESS("key_in_progress", 409, RunState.UNKNOWN, true,
			"A request with this idempotency key is in progress."),

	/**
	 * An earlier request with this idempotency key may have run; its outcome is not
	 * known.
	 */
	OUTCOME_UNKNOWN("outcome_unknown", 409, RunState.UNKNOWN, false,
			"A request with this idempotency key may have run; its outcome is not known."),

	/**
	 * The idempotency key's lifetime has passed; whether an earlier request ran is
	 * unknown.
	 */
	KEY_EXPIRED("key_expired", 410, RunState.UNKNOWN, false, "The idempotency key has expired."),

	/** The body exceeds the size limit. */
	REQUEST_TOO_LARGE("request_too_large", 413, RunState.NOT_RUN, false, "The request is over the size limit."),

	/** The first line or the headers exceed the size limit. */
	HEAD_TOO_LARGE("head_too_large", 431, RunState.NOT_RUN, false, "The request's headers are over the size limit."),

	/** A non-idempotent operation was called without an idempotency key. */
	KEY_REQUIRED("key_required", 428, RunState.NOT_RUN, false, "This operation needs an Idempotency-Key header."),

	/** The workspace exceeds its request rate limit. */
	RATE_LIMITED("rate_limited", 429, RunState.NOT_RUN, true, "The workspace is over its request rate."),

	/** The workspace exceeds its limit of tokens in flight. */
	TOKENS_LIMITED("tokens_limited", 429, RunState.NOT_RUN, true, "The workspace has too many tokens in flight."),

	/** The workspace has as many queued requests as it may have. */
	QUEUE_FULL("queue_full", 429, RunState.NOT_RUN, true, "The workspace's queue is full."),

	/** The request cannot be expected to start before its deadline. */
	DEADLINE_UNREACHABLE("deadline_unreachable", 503, RunState.NOT_RUN, true,
			"The request cannot be started before its deadline."),

	/** No target of the model or service serves at present. */
	NO_CAPACITY("no_capacity", 503, RunState.NOT_RUN, true, "No replica group serves this model at present."),

	/** The daemon has no configuration yet, or one beyond the staleness bound. */
	NOT_READY("not_ready", 503, RunState.NOT_RUN, true, "This daemon is not ready; use another address."),

	/**
	 * The configuration in force does not allow the request, but a newer one, which this
	 * daemon has not received, may.
	 */
	CONFIG_BEHIND("config_behind", 503, RunState.NOT_RUN, true,
			"This daemon's configuration may be old; use another address."),

	/** The daemon is about to stop and accepts no new requests. */
	LEAVING("leaving", 503, RunState.NOT_RUN, true, "This daemon is leaving; use another address."),

	/** The idempotency key cannot be claimed on the log, so the request is refused. */
	CLAIM_UNAVAILABLE("claim_unavailable", 503, RunState.NOT_RUN, true,
			"Non-idempotent requests cannot be accepted at present."),

	/**
	 * The request cannot be written to a target, such as one of a workspace whose name
	 * does not fit into a header.
	 */
	UNSENDABLE("unsendable", 503, RunState.NOT_RUN, false,
			"The request cannot be sent to targets; the operators have to change the configuration."),

	/** The request is quarantined, since targets crashed while they ran it. */
	QUARANTINED("quarantined", 422, RunState.NOT_RUN, false, "Targets crashed while running this request."),

	/** A target failed, and the request must not or cannot be retried. */
	TARGET_FAILED("target_failed", 502, RunState.UNKNOWN, true, "The target failed while running the request."),

	/** The target's response is malformed or does not match the attempt. */
	TARGET_PROTOCOL("target_protocol", 502, RunState.UNKNOWN, true, "The target's answer could not be understood."),

	/** The deadline passed while the request was running. */
	DEADLINE_EXCEEDED("deadline_exceeded", 504, RunState.UNKNOWN, true,
			"The deadline passed while the request was running."),

	/** The daemon stopped while the request was running. */
	INTERRUPTED("interrupted", 502, RunState.UNKNOWN, true, "The daemon stopped while the request was running."),

	/** The caller closed its connection before the response was complete. */
	CALLER_GONE("caller_gone", 499, RunState.UNKNOWN, false, "The caller went away."),

	/** A ring between duties was full, so the request was not accepted. */
	OVERLOADED("overloaded", 503, RunState.NOT_RUN, true, "The daemon is overloaded."),

	/** The daemon failed internally. */
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
	 * Returns the code that identifies the error in the response body.
	 * @return the code, in snake case
	 */
	public String code() {
		return this.code;
	}

	/**
	 * Returns the HTTP status of the error response.
	 * @return the status code
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns the run state of a request that fails with this kind, where nothing more
	 * precise is known of it.
	 * @return the run state
	 */
	public RunState runState() {
		return this.runState;
	}

	/**
	 * Returns whether the HTTP status promises a caller that its request has not run and
	 * never will, so that it may send a non-idempotent request again.
	 * @return whether it is 503 or 429
	 */
	public boolean promisesNotRun() {
		return this.httpStatus == UNAVAILABLE || this.httpStatus == TOO_MANY_REQUESTS;
	}

	/**
	 * Returns whether the same request may succeed later.
	 * @return whether a retry is worthwhile
	 */
	public boolean retryable() {
		return this.retryable;
	}

	/**
	 * Returns the human-readable message of the error response.
	 * @return the message, a full sentence
	 */
	public String message() {
		return this.message;
	}

	/**
	 * Returns the error type of the OpenAI API that corresponds to the HTTP status.
	 * @return the type, in snake case
	 */
	public String type() {
		if (this.httpStatus == 429) {
			return "rate_limit_error";
		}
		return (this.httpStatus < 500) ? "invalid_request_error" : "server_error";
	}

}
