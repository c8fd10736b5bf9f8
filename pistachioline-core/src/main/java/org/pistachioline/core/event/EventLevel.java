package org.pistachioline.core.event;

/**
 * The severity of an event.
 */
public enum EventLevel {

	/** Part of normal operation. */
	INFO,

	/** May need an operator's attention. */
	WARN,

	/** Needs an operator's attention. */
	ERROR

}
