package org.pistachioline.daemon.peer;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.stream.CheckpointParts;
import org.pistachioline.core.stream.CheckpointCoverage;
import org.pistachioline.daemon.agreed.StreamSnapshot;
import org.pistachioline.protocol.peer.CheckpointReply;
import org.pistachioline.protocol.peer.CheckpointRequest;

import static org.assertj.core.api.Assertions.assertThat;

class CheckpointExchangeTests {

	private static final long THROUGH_OFFSET = 41;

	private static final CheckpointCoverage COVERAGE = new CheckpointCoverage(30, 12_345);

	private int encodings;

	private long throughOffset = THROUGH_OFFSET;

	private final byte[] stateBytes = state();

	private final CheckpointProvider provider = new CheckpointProvider(() -> {
		this.encodings++;
		return Optional.of(new StreamSnapshot(this.throughOffset, this.stateBytes, COVERAGE));
	});

	private static byte[] state() {
		final byte[] bytes = new byte[3 * CheckpointParts.PART_BYTES - 7];
		for (int i = 0; i < bytes.length; i++) {
			bytes[i] = (byte) (i * 31 + i / CheckpointParts.PART_BYTES);
		}
		return bytes;
	}

	private static CheckpointFetch fetch(long floorOffset) {
		return new CheckpointFetch("fleet", "new", "survivor", floorOffset);
	}

	// All daemons but one are replaced at once while the log is down. The new ones can
	// have the state from nobody but the survivor, and it is larger than one frame.
	@Test
	void aCheckpointLargerThanOneFrameIsFetchedPartByPart() {
		final CheckpointFetch fetch = fetch(42);
		CheckpointFetch.Progress progress = CheckpointFetch.Progress.INCOMPLETE;
		int rounds = 0;
		while (progress == CheckpointFetch.Progress.INCOMPLETE) {
			progress = fetch.onReply(this.provider.respond(fetch.nextRequest(0), 0));
			rounds++;
		}
		assertThat(progress).isEqualTo(CheckpointFetch.Progress.COMPLETE);
		assertThat(rounds).isEqualTo(3);
		assertThat(fetch.snapshot().orElseThrow().throughOffset()).isEqualTo(THROUGH_OFFSET);
		assertThat(fetch.snapshot().orElseThrow().coverage()).isEqualTo(COVERAGE);
		assertThat(Arrays.equals(fetch.snapshot().orElseThrow().stateBytes(), this.stateBytes)).isTrue();
	}

	// A peer that is behind answers first. Its state would revert what another daemon had
	// in force already.
	@Test
	void aCheckpointOlderThanAReportedOffsetIsRejected() {
		final CheckpointFetch fetch = fetch(43);
		assertThat(this.provider.respond(fetch.nextRequest(0), 0).getAvailable()).isFalse();
		final CheckpointReply older = CheckpointReply.newBuilder()
			.setAvailable(true)
			.setThroughOffset(THROUGH_OFFSET)
			.setParts(1)
			.build();
		assertThat(fetch.onReply(older)).isEqualTo(CheckpointFetch.Progress.FAILED);
		assertThat(fetch.snapshot()).isEmpty();
	}

	// The survivor folds on between two parts. Parts of two states put together would be
	// a state that never was.
	@Test
	void partsOfTwoCheckpointsAreNeverCombined() {
		final CheckpointFetch fetch = fetch(42);
		fetch.onReply(this.provider.respond(fetch.nextRequest(0), 0));
		this.throughOffset++;
		this.provider.respond(CheckpointRequest.newBuilder().setStream("fleet").build(), TimeUnit.SECONDS.toNanos(2));
		final CheckpointReply second = this.provider.respond(fetch.nextRequest(0), TimeUnit.SECONDS.toNanos(2));
		assertThat(second.getAvailable()).isFalse();
		assertThat(fetch.onReply(second)).isEqualTo(CheckpointFetch.Progress.FAILED);
	}

	// A stranger, or a late reply, sends parts that nobody asked for. They must neither
	// grow memory nor end up in a state.
	@Test
	void unrequestedAndOversizedPartsEndTheFetch() {
		final CheckpointReply.Builder good = CheckpointReply.newBuilder()
			.setAvailable(true)
			.setThroughOffset(THROUGH_OFFSET)
			.setParts(2);
		assertThat(fetch(42).onReply(good.clone().setPart(1).build())).isEqualTo(CheckpointFetch.Progress.FAILED);
		assertThat(fetch(42).onReply(good.clone().setParts(CheckpointParts.MAX_PARTS + 1).build()))
			.isEqualTo(CheckpointFetch.Progress.FAILED);
		final ByteString oversize = ByteString.copyFrom(new byte[CheckpointParts.PART_BYTES + 1]);
		assertThat(fetch(42).onReply(good.clone().setState(oversize).build()))
			.isEqualTo(CheckpointFetch.Progress.FAILED);
	}

	// Hundreds of new daemons ask the survivor at once. If it encoded its state for each,
	// it would have no time left for its callers.
	@Test
	void theStateIsEncodedOncePerSecondForAllRequestersAndReleasedAfterwards() {
		for (int asker = 0; asker < 370; asker++) {
			assertThat(this.provider.respond(fetch(42).nextRequest(0), asker).getAvailable()).isTrue();
		}
		assertThat(this.encodings).isEqualTo(1);
		this.provider.expire(TimeUnit.SECONDS.toNanos(11));
		final CheckpointRequest second = CheckpointRequest.newBuilder().setPart(1).build();
		assertThat(this.provider.respond(second, TimeUnit.SECONDS.toNanos(11)).getAvailable()).isFalse();
	}

}
