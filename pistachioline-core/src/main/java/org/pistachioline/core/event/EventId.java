package org.pistachioline.core.event;

/**
 * Catalogue of the numbered log events. The table in docs/EVENTS.md is generated from it.
 * <p>
 * Numbers are grouped by area: 1xx process, 2xx log, store and instance list, 3xx
 * configuration, 4xx groups, instances and targets, 5xx requests, 6xx peers, 7xx duties.
 */
public enum EventId {

	/** Logged when all components are running. */
	STARTED(100, EventLevel.INFO, "The process has started."),

	/** Logged when the process is told to stop, before it drains. */
	STOPPING(101, EventLevel.INFO,
			"The process is stopping; active requests are completed first, within a time limit."),

	/** Logged after draining. */
	STOPPED(102, EventLevel.INFO, "The process has stopped."),

	/** Logged also for a settings file that is unreadable or invalid. */
	START_FAILED(103, EventLevel.ERROR, "Starting a component or reading the settings failed."),

	/** Reserved for the transition to ready; not logged at present. */
	READY(104, EventLevel.INFO, "The daemon is ready to accept requests."),

	/** Reserved for the transition to not ready; not logged at present. */
	NOT_READY(105, EventLevel.WARN, "The daemon is not ready to accept requests."),

	/**
	 * Logged when the requests that a daemon relays to itself before it accepts traffic
	 * fail. The daemon serves all the same.
	 */
	WARM_UP_FAILED(107, EventLevel.WARN, "The warm-up requests failed; the first callers are served more slowly."),

	/** Logged when the daemon is first offered to callers, after any warm-up. */
	TRAFFIC_ACCEPTED(108, EventLevel.INFO, "Callers are directed to this daemon from now on."),

	/** Logged when a component fails to stop. The process ends all the same. */
	STOP_FAILED(109, EventLevel.ERROR, "Stopping a component failed."),

	/** Logged on a signal to reload. The settings in use do not change. */
	SETTINGS_CHECKED(106, EventLevel.INFO,
			"The settings file was read again and is valid; changes apply at the next start."),

	/** Logged at the first of several failed reads of a stream. */
	LOG_UNAVAILABLE(200, EventLevel.WARN,
			"The platform's log cannot be read; serving continues with the last known state."),

	/** Logged at the first successful read after {@link #LOG_UNAVAILABLE}. */
	LOG_AVAILABLE(201, EventLevel.INFO, "The platform's log can be read again."),

	/** Logged for records of the log or of the platform's store. */
	RECORD_CORRUPT(202, EventLevel.WARN, "A record could not be decoded and was skipped."),

	/** Reserved for records that the reducer rejects; not logged at present. */
	RECORD_REJECTED(203, EventLevel.INFO, "A record was rejected by the state at its offset."),

	/** Logged when it is unknown whether a record was appended. */
	APPEND_AMBIGUOUS(204, EventLevel.WARN,
			"The response to an append was lost; the stream is read on to learn whether the record was appended."),

	/** Logged when the log's oldest offset lies past the next offset to read. */
	LOG_GAP(205, EventLevel.ERROR, "Records expired before they were read; a checkpoint is needed."),

	/** Logged after the last part of a checkpoint was appended. */
	CHECKPOINT_WRITTEN(206, EventLevel.INFO, "A checkpoint was appended to the log."),

	/** Logged when state was restored from a checkpoint. */
	CHECKPOINT_LOADED(207, EventLevel.INFO, "The state was restored from a checkpoint."),

	/** Logged when another writer appended an entry over the size limit. */
	RECORD_OVERSIZE(208, EventLevel.WARN, "An entry of the log exceeds the size limit and was skipped."),

	/** Logged when a stream holds a record of a kind that this release does not know. */
	RECORD_UNSUPPORTED(209, EventLevel.ERROR,
			"A record requires a newer release of this daemon; reading of the stream has stopped."),

	/** Logged when the reducer throws. All daemons skip the record, so states agree. */
	REDUCER_FAILED(210, EventLevel.ERROR, "The reducer failed on a record; every daemon skips this record."),

	/**
	 * Logged when the log has lost its end. Its shorter history is not applied, since the
	 * state would revert to an older one.
	 */
	LOG_END_REGRESSED(211, EventLevel.ERROR,
			"The log ends before an offset that was already read; the known state is kept."),

	/** Logged when a page lacks an offset between two of its entries. */
	LOG_ENTRY_MISSING(212, EventLevel.ERROR, "The log omitted an entry; it is read again from that offset."),

	/** Logged for a record of this daemon, which is not sent again. */
	APPEND_TOO_LARGE(213, EventLevel.ERROR, "A record exceeds the log's size limit and was discarded."),

	/** Logged when a checkpoint was received from a peer instead of the log. */
	CHECKPOINT_FETCHED(214, EventLevel.INFO, "A checkpoint was received from a peer."),

	/** Logged at the first of several failed calls to the store. */
	STORE_UNAVAILABLE(215, EventLevel.WARN,
			"The platform's store does not respond; serving continues with the last known state."),

	/** Logged at the first successful call after {@link #STORE_UNAVAILABLE}. */
	STORE_AVAILABLE(216, EventLevel.INFO, "The platform's store responds again."),

	/** Logged when the offset to be read next is older than what the store retains. */
	STORE_HISTORY_TRUNCATED(217, EventLevel.INFO,
			"The store no longer retains the history to be read; its latest records are read instead."),

	/** Logged for some of the ignored entries only, with the count of all. */
	ENTRY_UNUSABLE(218, EventLevel.WARN, "Entries of the instance list do not describe an instance and are ignored."),

	/** Logged when the known list exceeds its maximum age. */
	LISTING_STALE(219, EventLevel.WARN,
			"The instance list was not refreshed in time by other daemons; it is read from the platform."),

	/** Logged when the list is within its maximum age again. */
	LISTING_FRESH(220, EventLevel.INFO, "The instance list is up to date."),

	/** Logged when the store names a higher era than before. */
	STORE_RESTORED(221, EventLevel.WARN,
			"The platform's store was restored from a backup; later writes are lost and its offsets start over."),

	/** Logged when an instance writes an entry with such a field. */
	ENTRY_FIELD_UNUSABLE(223, EventLevel.WARN,
			"A field of an instance's entry has an unusable value and is treated as missing."),

	/** Logged when the daemon applies another version than before. */
	CONFIG_IN_FORCE(300, EventLevel.INFO, "A configuration version is in force on this daemon."),

	/** Logged when the configuration exceeds its staleness bound. */
	CONFIG_STALE(301, EventLevel.ERROR,
			"The configuration may be older than the staleness bound; requests are refused."),

	/** Logged when the configuration is within its staleness bound again. */
	CONFIG_FRESH(302, EventLevel.INFO, "The configuration is within the staleness bound again; requests are accepted."),

	/** Logged for a version that is ignored, since versions never decrease. */
	CONFIG_NOT_NEWER(303, EventLevel.INFO,
			"The platform's store holds a configuration that is no newer than the one in force; it is ignored."),

	/** Logged once until the daemon has caught up. */
	CONFIG_BEHIND(306, EventLevel.WARN,
			"A newer configuration is in force on another daemon, and this daemon has not received it."),

	/** Logged after {@code PL-0306}. */
	CONFIG_CAUGHT_UP(307, EventLevel.INFO, "No newer configuration than the one in force is known any more."),

	/** Logged where the platform has not provided it in time. */
	CONFIG_COPIED(308, EventLevel.INFO, "A newer configuration was received from another daemon."),

	/** Logged once for each version of the configuration and unusable field. */
	CONFIG_FIELD_UNUSABLE(305, EventLevel.WARN,
			"A field of the configuration has an unusable value and is treated as missing."),

	/** Logged by the planner once the log has accepted the formation. */
	GROUP_FORMED(400, EventLevel.INFO, "A replica group was formed."),

	/** Logged by the planner once the log has accepted the dissolution. */
	GROUP_DISSOLVED(401, EventLevel.INFO, "A replica group was dissolved."),

	/** Logged when this daemon has a proof of presence of each member. */
	GROUP_SERVING(402, EventLevel.INFO, "A replica group is serving: all its members are present."),

	/** Logged when a proof of presence of a member expires. */
	GROUP_NOT_SERVING(403, EventLevel.WARN, "A replica group is not serving: a member is missing."),

	/** Logged by the planner once the log has accepted the drain. */
	GROUP_DRAINING(404, EventLevel.INFO, "A replica group accepts no new requests and completes its active ones."),

	/** Logged when an order was refused, or its outcome is unknown. */
	ORDER_FAILED(405, EventLevel.WARN, "An order to an instance failed and will be repeated."),

	/** Logged once the log has accepted this daemon's claim. */
	PLANNER_CLAIMED(406, EventLevel.INFO, "This daemon is the planner of a fabric domain."),

	/**
	 * Logged when most instances of a domain disappear together, as in an outage of the
	 * domain. Its groups are not changed until it is known which instances are left.
	 */
	DOMAIN_UNRESPONSIVE(407, EventLevel.ERROR,
			"Most of a fabric domain stopped responding at once; changes to it are deferred."),

	/** Logged with the outcome of the order, whatever it is. */
	ORDER_COMPLETED(408, EventLevel.INFO, "An order to an instance has completed."),

	/** Logged when this daemon becomes the planner. */
	LEASE_ACQUIRED(409, EventLevel.INFO, "This daemon holds the planner's lease."),

	/** Logged when the lease was released, has expired or went to another daemon. */
	LEASE_LOST(410, EventLevel.INFO, "This daemon no longer holds the planner's lease."),

	/** Logged when a target becomes eligible for requests. */
	TARGET_SERVING(411, EventLevel.INFO, "A target accepts requests."),

	/** Logged when a target is no longer eligible for requests. */
	TARGET_STOPPED(412, EventLevel.INFO, "A target accepts no more requests: it left, closed or lost a member."),

	/**
	 * Logged when a member of a stalled group refuses connections, or has missed all
	 * probes for two seconds, while other members answered. The planner treats it as
	 * lost.
	 */
	INSTANCE_UNRESPONSIVE(413, EventLevel.WARN,
			"A stalled group's member refuses connections, or misses all probes for two seconds, and counts as lost."),

	/**
	 * Logged by the planner with the number of instances in each state, for each service
	 * at most once in two seconds.
	 */
	POOL_SUMMARY(414, EventLevel.INFO, "The instances of a service by state, as its planner sees them."),

	/** Logged when a target states a request limit that is new to this daemon. */
	TARGET_LIMITED(415, EventLevel.WARN, "A target has stated a request rate limit for all daemons together."),

	/** Logged when a target has withdrawn its request limit. */
	TARGET_UNLIMITED(416, EventLevel.INFO, "A target no longer states a request rate limit."),

	/** Logged when a target rejects a request and names a time to stay away. */
	TARGET_BACKOFF(417, EventLevel.WARN, "A target has asked this daemon to send it no requests for a time."),

	/** Logged when a target announces in a response that it is about to stop. */
	TARGET_LEAVING(418, EventLevel.INFO, "A target has announced in a response that it is leaving."),

	/** Logged with the number of requests that the target had from this daemon. */
	TARGET_CRASHED(419, EventLevel.WARN, "A target crashed while it was running requests of this daemon."),

	/** Logged with the daemon through which the target is reached instead. */
	TARGET_UNREACHABLE(420, EventLevel.WARN,
			"A target cannot be connected to directly, but another daemon connects to it."),

	/** Logged when a direct connection to an unreachable target was established. */
	TARGET_REACHED_AGAIN(421, EventLevel.INFO, "An unreachable target can be connected to directly again."),

	/** Logged when most targets are unreachable, with their number. */
	PARTITION_BEGAN(422, EventLevel.ERROR,
			"This daemon is partitioned from most targets and reaches them through other daemons."),

	/** Logged with the number of targets that are still unreachable. */
	PARTITION_ENDED(423, EventLevel.INFO, "This daemon is no longer partitioned from most targets."),

	/** Logged when this daemon learns that a target has not warmed up. */
	TARGET_COLD(430, EventLevel.INFO, "A target is cold; all daemons together pace the requests to it."),

	/** Logged when a target's cold time is over. */
	TARGET_WARM(431, EventLevel.INFO, "A target has warmed up and is no longer paced."),

	/** Logged once for each request of the operators. */
	ZONE_EVACUATED(432, EventLevel.WARN,
			"Operators evacuate an availability zone; nothing new is sent to its targets."),

	/** Logged when the operators' request is withdrawn. */
	ZONE_EVACUATION_ENDED(433, EventLevel.INFO,
			"The evacuation of an availability zone is over; its targets are used again."),

	/** Logged with the beginning of such an evacuation. */
	EVACUATED_ZONE_UNKNOWN(434, EventLevel.WARN, "No listed instance is in the availability zone to be evacuated."),

	/** Logged once for each name. */
	EVACUATION_REFUSED(435, EventLevel.ERROR,
			"A request to evacuate is ignored: its zone's name is unusable, or there are too many zones."),

	/** Logged once for each record. */
	EVACUATION_UNREADABLE(436, EventLevel.WARN,
			"The value of a request to evacuate cannot be read; the zone that its key names is evacuated."),

	/** Logged with the cause and with the time from the loss until they were free. */
	GROUP_RELEASED(437, EventLevel.INFO, "The members of a group that no longer serves are free again."),

	/** Logged with the evidence that the group's head no longer serves. */
	GROUP_ENDED(438, EventLevel.INFO, "A group has ended for its planner, which may assign its members again."),

	/**
	 * Logged when the head of an ended group reports it again. Orders that were late have
	 * then been executed after newer ones.
	 */
	GROUP_REVIVED(439, EventLevel.WARN, "The head of an ended group reports the group again; it is closed once more."),

	/**
	 * Logged when the group of planners changed twice or more between two renewals, and
	 * the store does not confirm that this daemon held the lease all the time.
	 */
	LEASE_INTERRUPTED(440, EventLevel.INFO,
			"The planner's lease may have been another daemon's for a moment; what was ordered before is forgotten."),

	/**
	 * Logged when the evidence that a request, or a part of prompts, crashes its targets
	 * suffices, with the kind of suspect.
	 */
	REQUEST_QUARANTINED(500, EventLevel.ERROR,
			"A request, or a part of prompts, that crashes targets was quarantined."),

	/** Logged when a response names another attempt, or its attempt has ended. */
	RESPONSE_DROPPED(501, EventLevel.WARN, "A response that does not match a live attempt was dropped."),

	/** Logged for live attempts that were neither completed nor cancelled. */
	ATTEMPT_FAILED(502, EventLevel.WARN, "An attempt at a target failed."),

	/** Logged with the exception that failed the request. */
	REQUEST_INTERNAL_ERROR(503, EventLevel.ERROR, "A request failed because of an internal error of the daemon."),

	/** Logged when a target crashed under a request for the first time. */
	REQUEST_SUSPECTED(504, EventLevel.WARN,
			"A target crashed under a request; the request runs once more, apart from other suspects."),

	/** Logged for each attempt after the first. */
	REQUEST_RETRIED(505, EventLevel.INFO, "A request is sent again after its target failed or stalled."),

	/** Logged with the kind of error, unless the caller has gone. */
	REQUEST_FAILED(506, EventLevel.WARN, "A request ended without a response from a target, or with a failure."),

	/** Logged with the kind of error, for example of an unauthenticated request. */
	REQUEST_REFUSED(507, EventLevel.WARN, "A request was refused before it was queued."),

	/** Logged when a connection breaks after the request was sent on it. */
	TARGET_CONNECTION_LOST(508, EventLevel.WARN, "The connection to a target broke while it was running a request."),

	/** Logged when a quarantine expires. */
	QUARANTINE_ENDED(509, EventLevel.INFO, "A request is no longer quarantined."),

	/** Logged with the cause: the connection was refused, or not established in time. */
	TARGET_NOT_CONNECTED(510, EventLevel.INFO, "A target could not be connected to, so nothing was sent to it."),

	/**
	 * Logged when more is asked of a model or service than its targets can serve, at most
	 * every two seconds.
	 */
	ADMISSION_RESTRICTED(511, EventLevel.WARN,
			"More requests arrive at all daemons than the targets can serve; the less urgent ones are refused."),

	/** Logged when all requests are admitted again, at most every two seconds. */
	ADMISSION_UNRESTRICTED(512, EventLevel.INFO, "The targets can serve all requests again."),

	/**
	 * Logged once for each response that the daemon itself cut off, with the reason; not
	 * for callers who disconnected.
	 */
	RESPONSE_INCOMPLETE(513, EventLevel.WARN, "The response to a caller ended without being complete."),

	/** Logged once for each connection, with the target. */
	RESPONSE_OVERSIZED(514, EventLevel.WARN,
			"A target sent more bytes than a response may have; its connection is closed."),

	/**
	 * Logged for each, with the request that the response names and with what its
	 * connection had carried.
	 */
	RESPONSE_UNEXPECTED(515, EventLevel.WARN,
			"A server sent a response that does not belong to the request on its connection."),

	/** Logged with the connection that is not used for the request. */
	REQUEST_ID_REPEATED(516, EventLevel.INFO,
			"A request has the same id as one that an idle connection to its target has carried; it goes on another."),

	/** Logged for each, with the part; not with its bytes, which may be anything. */
	RESPONSE_MALFORMED(517, EventLevel.WARN,
			"A server sent bytes that break the grammar of HTTP; they count as no response, and their connection is closed."),

	/** Logged with the lag and whether requests are refused while it lasts. */
	LOOP_LATE(520, EventLevel.WARN, "The loop that serves callers runs late: the machine is short of processor time."),

	/** Logged with the number of requests refused meanwhile. */
	LOOP_ON_TIME(521, EventLevel.INFO, "The loop that serves callers runs on time again."),

	/** Logged when the heartbeats of a live peer have timed out. */
	PEER_LOST(600, EventLevel.INFO, "A peer daemon is no longer live."),

	/** Logged for new peers and for lost peers that have returned. */
	PEER_DISCOVERED(601, EventLevel.INFO, "A peer daemon was discovered."),

	/** Logged for frames that are malformed, too large or too frequent. */
	PEER_FRAME_REFUSED(602, EventLevel.WARN, "A frame on the peer port was refused and its connection closed."),

	/**
	 * Logged at most once a second for each ring, with the number of messages that were
	 * dropped and that nothing repeats; the metrics count all refusals.
	 */
	RING_FULL(700, EventLevel.WARN, "A ring between duties was full."),

	/** Logged when a duty's handler throws. */
	DUTY_FAILED(701, EventLevel.ERROR, "A duty failed on one message or tick and continues with the next.");

	private final int number;

	private final EventLevel level;

	private final String text;

	EventId(int number, EventLevel level, String text) {
		this.number = number;
		this.level = level;
		this.text = text;
	}

	/**
	 * Returns the event's unique number.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the severity with which the event is logged.
	 * @return the level
	 */
	public EventLevel level() {
		return this.level;
	}

	/**
	 * Returns the description that is logged with the event.
	 * @return the text, a full sentence
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the label that identifies the event in logs and in {@code pistachioctl}.
	 * @return the label, such as {@code PL-0200}
	 */
	public String label() {
		return String.format("PL-%04d", this.number);
	}

}
