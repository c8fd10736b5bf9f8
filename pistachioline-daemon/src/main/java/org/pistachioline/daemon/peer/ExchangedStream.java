package org.pistachioline.daemon.peer;

import java.util.function.ToLongFunction;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.daemon.agreed.StreamDuty;

/**
 * A stream whose checkpoints daemons exchange.
 *
 * @param stream the stream
 * @param reportedOffset returns the stream's offset that a daemon reported in its
 * heartbeat; 0 if heartbeats do not report it
 */
public record ExchangedStream(StreamDuty<?> stream, ToLongFunction<PeerStatus> reportedOffset) {

}
