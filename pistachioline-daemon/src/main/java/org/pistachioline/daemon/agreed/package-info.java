/**
 * Replicated state of the daemons: following the streams of the platform's log and
 * appending records to them.
 */
package org.pistachioline.daemon.agreed;
