package org.pistachioline.core.state;

/**
 * Why a record changed nothing.
 */
public enum RejectReason {

	/** The writer's sequence was seen before, or a later one was. */
	REPEATED,

	/** The body's kind is not known here. */
	UNKNOWN_KIND,

	/** The record belongs on another stream. */
	WRONG_STREAM,

	/** The manifest's base version is not the current one. */
	STALE_BASE,

	/** The manifest is not valid. */
	INVALID_MANIFEST,

	/** The planner's epoch is not the current one. */
	STALE_PLANNER,

	/** A member belongs to another group. */
	MEMBER_TAKEN,

	/** The members are not of one fabric domain, or one stands twice. */
	INVALID_MEMBERS,

	/** A group of this id exists. */
	GROUP_EXISTS,

	/** There is no group of this id and epoch. */
	UNKNOWN_GROUP,

	/** The key was claimed before. */
	KEY_TAKEN,

	/** There is no such claim, or it is settled. */
	UNKNOWN_CLAIM,

	/** The partition holds as many claims as it may. */
	CLAIMS_FULL

}
