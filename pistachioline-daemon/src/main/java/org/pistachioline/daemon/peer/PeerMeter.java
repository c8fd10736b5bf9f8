package org.pistachioline.daemon.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Counts the frames of each kind and their bytes.
 */
public final class PeerMeter {

	private static final int LENGTH_PREFIX_BYTES = 4;

	private final Map<PeerFrame.BodyCase, LongAdder> frameCount = new EnumMap<>(PeerFrame.BodyCase.class);

	private final Map<PeerFrame.BodyCase, LongAdder> byteCount = new EnumMap<>(PeerFrame.BodyCase.class);

	PeerMeter() {
		for (final PeerFrame.BodyCase kind : PeerFrame.BodyCase.values()) {
			this.frameCount.put(kind, new LongAdder());
			this.byteCount.put(kind, new LongAdder());
		}
	}

	void count(PeerFrame frame) {
		this.frameCount.get(frame.getBodyCase()).increment();
		this.byteCount.get(frame.getBodyCase()).add(frame.getSerializedSize() + LENGTH_PREFIX_BYTES);
	}

	/**
	 * Returns how many frames were counted.
	 * @param kind the kind of frame
	 * @return the frames since the start
	 */
	public long frameCount(PeerFrame.BodyCase kind) {
		return this.frameCount.get(kind).sum();
	}

	/**
	 * Returns how many bytes were counted, without those of TCP and TLS.
	 * @param kind the kind of frame
	 * @return the bytes since the start
	 */
	public long byteCount(PeerFrame.BodyCase kind) {
		return this.byteCount.get(kind).sum();
	}

}
