package org.pistachioline.daemon.peer;

import java.util.function.ToLongFunction;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.daemon.agreed.StreamDuty;

/**
 * A stream whose checkpoints daemons give each other.
 *
 * @param stream the stream
 * @param reportedOffset what a daemon's heartbeat tells of its offset; 0 where it tells
 * nothing
 */
public record ExchangedStream(StreamDuty<?> stream, ToLongFunction<PeerStatus> reportedOffset) {

}
