package org.pistachioline.core.event;

/**
 * The severity of an event.
 */
public enum EventLevel {

	/** Normal running. */
	INFO,

	/** Something an operator may want to look at. */
	WARN,

	/** Something an operator must look at. */
	ERROR

}
