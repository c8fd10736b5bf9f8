package org.pistachioline.core.event;

/**
 * The numbered events of the system; docs/EVENTS.md holds one row for each.
 */
public enum EventId {

	/** The process has started. */
	STARTED(100, EventLevel.INFO, "The process has started."),

	/** The process is stopping. */
	STOPPING(101, EventLevel.INFO, "The process is stopping; requests in progress are finished first."),

	/** The process has stopped. */
	STOPPED(102, EventLevel.INFO, "The process has stopped."),

	/** A service failed to start. */
	START_FAILED(103, EventLevel.ERROR, "A part of the process failed to start."),

	/** The daemon became ready. */
	READY(104, EventLevel.INFO, "The daemon is ready to take requests."),

	/** The daemon is no longer ready. */
	NOT_READY(105, EventLevel.WARN, "The daemon is not ready to take requests."),

	/** The rehearsal failed. */
	WARM_UP_FAILED(107, EventLevel.WARN,
			"The requests that are relayed before callers come failed; the first callers are served more slowly."),

	/** Callers may be sent here. */
	TRAFFIC_ACCEPTED(108, EventLevel.INFO, "Callers are sent to this daemon from now on."),

	/** The settings were read again. */
	SETTINGS_CHECKED(106, EventLevel.INFO, "The settings file has changed and was read again."),

	/** The log cannot be read. */
	LOG_UNAVAILABLE(200, EventLevel.WARN, "The platform's log cannot be read; serving on from what is known."),

	/** The log can be read again. */
	LOG_AVAILABLE(201, EventLevel.INFO, "The platform's log can be read again."),

	/** A record could not be decoded. */
	RECORD_CORRUPT(202, EventLevel.WARN, "A record on the log could not be decoded and was skipped."),

	/** A record was rejected by the reducer. */
	RECORD_REJECTED(203, EventLevel.INFO, "A record was rejected by the state at its offset."),

	/** An append's answer was lost. */
	APPEND_AMBIGUOUS(204, EventLevel.WARN, "An append's answer was lost; reading on to learn whether it landed."),

	/** Records have expired before they were read. */
	LOG_GAP(205, EventLevel.ERROR, "Records expired before they were read; a checkpoint is needed."),

	/** A checkpoint was appended. */
	CHECKPOINT_WRITTEN(206, EventLevel.INFO, "A checkpoint was appended to the log."),

	/** A checkpoint was loaded. */
	CHECKPOINT_LOADED(207, EventLevel.INFO, "A checkpoint was loaded."),

	/** An entry is larger than the log's limit. */
	RECORD_OVERSIZE(208, EventLevel.WARN, "An entry on the log is over the size limit and was skipped."),

	/** A record needs a newer release. */
	RECORD_UNSUPPORTED(209, EventLevel.ERROR,
			"A record needs a newer release of this daemon; the stream is followed no further."),

	/** The reducer failed on a record. */
	REDUCER_FAILED(210, EventLevel.ERROR, "The reducer failed on a record, which was skipped on all daemons alike."),

	/** The log's end lies before what was read. */
	LOG_END_REGRESSED(211, EventLevel.ERROR, "The log ends before what was read of it; keeping what is known."),

	/** An entry is missing inside a page. */
	LOG_ENTRY_MISSING(212, EventLevel.ERROR, "The log left out an entry; reading again from there."),

	/** A record of ours is over the size limit. */
	APPEND_TOO_LARGE(213, EventLevel.ERROR, "A record is over the log's size limit and was given up."),

	/** A peer gave a checkpoint. */
	CHECKPOINT_FETCHED(214, EventLevel.INFO, "A checkpoint was taken over from a peer."),

	/** The platform's store does not answer. */
	STORE_UNAVAILABLE(215, EventLevel.WARN, "The platform's store does not answer; serving on from what is known."),

	/** The platform's store answers again. */
	STORE_AVAILABLE(216, EventLevel.INFO, "The platform's store answers again."),

	/** The store's history was dropped. */
	STORE_HISTORY_TRUNCATED(217, EventLevel.INFO,
			"The store has dropped the history that was to be read; reading its newest records."),

	/** An entry of the instance list names no instance that could be used. */
	ENTRY_UNUSABLE(218, EventLevel.WARN, "Entries of the instance list name no instance and are ignored."),

	/** The list of instances is out of date. */
	LISTING_STALE(219, EventLevel.WARN,
			"Nothing fresh was heard of the list of instances in time; reading it from the platform."),

	/** The list of instances is up to date again. */
	LISTING_FRESH(220, EventLevel.INFO, "The list of instances is up to date."),

	/** The store came back from a copy. */
	STORE_RESTORED(221, EventLevel.WARN,
			"The platform's store came back from a copy; what was written since then is lost and its offsets begin anew."),

	/** A configuration came into force. */
	CONFIG_IN_FORCE(300, EventLevel.INFO, "A configuration version is in force on this daemon."),

	/** The configuration in use is stale. */
	CONFIG_STALE(301, EventLevel.ERROR, "The configuration may be out of date beyond the bound; refusing work."),

	/** The configuration is fresh again. */
	CONFIG_FRESH(302, EventLevel.INFO, "The configuration is known to be fresh again; taking work."),

	/** A configuration was found that is no newer. */
	CONFIG_NOT_NEWER(303, EventLevel.INFO,
			"The platform's store shows a configuration that is no newer than the one in force."),

	/** A group was formed. */
	GROUP_FORMED(400, EventLevel.INFO, "A replica group was formed."),

	/** A group was dissolved. */
	GROUP_DISSOLVED(401, EventLevel.INFO, "A replica group was dissolved."),

	/** A group serves. */
	GROUP_SERVING(402, EventLevel.INFO, "A replica group serves: all its members are present."),

	/** A group no longer serves. */
	GROUP_NOT_SERVING(403, EventLevel.WARN, "A replica group does not serve: a member is missing."),

	/** A group is draining. */
	GROUP_DRAINING(404, EventLevel.INFO, "A replica group takes no new work and finishes what it has."),

	/** An order to an instance was refused or failed. */
	ORDER_FAILED(405, EventLevel.WARN, "An order to an instance failed and will be repeated."),

	/** This daemon became the planner of a fabric domain. */
	PLANNER_CLAIMED(406, EventLevel.INFO, "This daemon plans a fabric domain."),

	/** A whole fabric domain or availability zone is dark. */
	DOMAIN_UNRESPONSIVE(407, EventLevel.ERROR,
			"Most of a fabric domain stopped answering at once; changes there wait."),

	/** An order was answered. */
	ORDER_COMPLETED(408, EventLevel.INFO, "An order was given to an instance."),

	/** This daemon holds the planner's lease. */
	LEASE_ACQUIRED(409, EventLevel.INFO, "This daemon holds the planner's lease."),

	/** This daemon no longer holds the planner's lease. */
	LEASE_LOST(410, EventLevel.INFO, "This daemon no longer holds the planner's lease."),

	/** A target appeared. */
	TARGET_SERVING(411, EventLevel.INFO, "A target takes requests."),

	/** A target takes no requests any more. */
	TARGET_STOPPED(412, EventLevel.INFO, "A target takes no more requests: it left, closed or lost a member."),

	/** A member of a group that stands still does not answer. */
	INSTANCE_UNRESPONSIVE(413, EventLevel.WARN,
			"A member of a group that stands still does not answer and counts as gone."),

	/**
	 * Where the instances of a service are; while this daemon plans, at most once in two
	 * seconds.
	 */
	POOL_SUMMARY(414, EventLevel.INFO, "Where the instances of a service are, as its planner sees them."),

	/** A target names a limit. */
	TARGET_LIMITED(415, EventLevel.WARN, "A target names how many requests it takes from all daemons together."),

	/** A target names no limit any more. */
	TARGET_UNLIMITED(416, EventLevel.INFO, "A target no longer names a limit."),

	/** A target wants no requests of this daemon for a while. */
	TARGET_BACKOFF(417, EventLevel.WARN, "A target wants no requests of this daemon for a while."),

	/** A target leaves. */
	TARGET_LEAVING(418, EventLevel.INFO, "A target said in an answer that it leaves."),

	/** A target died. */
	TARGET_CRASHED(419, EventLevel.WARN, "A target died while it had requests of this daemon."),

	/** A request was quarantined. */
	REQUEST_QUARANTINED(500, EventLevel.ERROR, "A request that crashes targets was quarantined."),

	/** An answer did not match its attempt. */
	RESPONSE_DROPPED(501, EventLevel.WARN, "An answer that does not match its attempt was dropped."),

	/** An attempt failed. */
	ATTEMPT_FAILED(502, EventLevel.WARN, "An attempt at a target failed."),

	/** A request failed inside the daemon. */
	REQUEST_INTERNAL_ERROR(503, EventLevel.ERROR, "A request failed through a fault of the daemon."),

	/** A group died under a request. */
	REQUEST_SUSPECTED(504, EventLevel.WARN,
			"A group died under a request; it runs once more, apart from other suspects."),

	/** A request goes to another target. */
	REQUEST_RETRIED(505, EventLevel.INFO, "A request goes to another target after one that failed or stood still."),

	/** A request ended without success. */
	REQUEST_FAILED(506, EventLevel.WARN, "A request ended without an answer of a target, or with a failure."),

	/** A request was refused before it could be placed. */
	REQUEST_REFUSED(507, EventLevel.WARN, "A request was refused before it was queued."),

	/** A target broke off under a request. */
	TARGET_CONNECTION_LOST(508, EventLevel.WARN, "A target broke off while it had a request."),

	/** A quarantine is over. */
	QUARANTINE_ENDED(509, EventLevel.INFO, "A request is no longer quarantined."),

	/** A peer link failed. */
	PEER_LOST(600, EventLevel.INFO, "A peer daemon cannot be reached."),

	/** A peer link works. */
	PEER_DISCOVERED(601, EventLevel.INFO, "A peer daemon was found."),

	/** A frame from a peer was refused. */
	PEER_FRAME_REFUSED(602, EventLevel.WARN, "A frame on the peer port was refused and its connection closed."),

	/** A ring between duties was full. */
	RING_FULL(700, EventLevel.WARN, "A ring between duties was full."),

	/** A duty failed on one message. */
	DUTY_FAILED(701, EventLevel.ERROR, "A duty failed on one message and goes on with the next.");

	private final int number;

	private final EventLevel level;

	private final String text;

	EventId(int number, EventLevel level, String text) {
		this.number = number;
		this.level = level;
		this.text = text;
	}

	/**
	 * Returns the event's number.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the event's level.
	 * @return the level
	 */
	public EventLevel level() {
		return this.level;
	}

	/**
	 * Returns the event's sentence.
	 * @return the text
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the name by which logs and the client refer to the event.
	 * @return the name, such as {@code PL-0200}
	 */
	public String label() {
		return String.format("PL-%04d", this.number);
	}

}
