package org.pistachioline.daemon.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Counts the frames of each kind and their bytes.
 */
public final class PeerMeter {

	private static final int LENGTH_BYTES = 4;

	private final Map<PeerFrame.BodyCase, LongAdder> frames = new EnumMap<>(PeerFrame.BodyCase.class);

	private final Map<PeerFrame.BodyCase, LongAdder> bytes = new EnumMap<>(PeerFrame.BodyCase.class);

	PeerMeter() {
		for (final PeerFrame.BodyCase kind : PeerFrame.BodyCase.values()) {
			this.frames.put(kind, new LongAdder());
			this.bytes.put(kind, new LongAdder());
		}
	}

	void count(PeerFrame frame) {
		this.frames.get(frame.getBodyCase()).increment();
		this.bytes.get(frame.getBodyCase()).add(frame.getSerializedSize() + LENGTH_BYTES);
	}

	/**
	 * Returns how many frames were counted.
	 * @param kind the kind of frame
	 * @return the frames since the start
	 */
	public long frames(PeerFrame.BodyCase kind) {
		return this.frames.get(kind).sum();
	}

	/**
	 * Returns how many bytes were counted, without those of TCP and TLS.
	 * @param kind the kind of frame
	 * @return the bytes since the start
	 */
	public long bytes(PeerFrame.BodyCase kind) {
		return this.bytes.get(kind).sum();
	}

}
