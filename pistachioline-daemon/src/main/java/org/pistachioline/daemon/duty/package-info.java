/**
 * Event loops, each with a thread and a bounded message queue of its own.
 */
package org.pistachioline.daemon.duty;
