package org.pistachioline.core.state;

/**
 * The reason why a reducer rejected a record.
 */
public enum RejectReason {

	/** A record of the writer with the same or a higher sequence number came before. */
	REPEATED,

	/** The kind of the body is not known to this version of the software. */
	UNKNOWN_KIND,

	/** The record belongs on another stream. */
	WRONG_STREAM,

	/** The base version of the proposal is not the current version. */
	STALE_BASE,

	/** The manifest fails validation. */
	INVALID_MANIFEST,

	/** The planner epoch in the record, or its writer, is not the current one. */
	STALE_PLANNER,

	/**
	 * An instance is a member of another group, or was in one formed at the same offset.
	 */
	MEMBER_TAKEN,

	/**
	 * There are no members, they are in different fabric domains, or one is listed twice.
	 */
	INVALID_MEMBERS,

	/** A group with this id exists. */
	GROUP_EXISTS,

	/** No group with this id and epoch exists. */
	UNKNOWN_GROUP,

	/** The idempotency key is already claimed. */
	KEY_TAKEN,

	/** No such claim exists, or its outcome is already stored. */
	UNKNOWN_CLAIM,

	/** The partition has reached its maximum number of claims. */
	CLAIMS_FULL

}
