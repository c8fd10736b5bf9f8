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

	private static final CheckpointCoverage COVER = new CheckpointCoverage(30, 12_345);

	private int encodings;

	private long through = THROUGH_OFFSET;

	private final byte[] stateBytes = state();

	private final CheckpointOffer offer = new CheckpointOffer(() -> {
		this.encodings++;
		return Optional.of(new StreamSnapshot(this.through, this.stateBytes, COVER));
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
	void aSurvivorsStateArrivesWholePartByPart() {
		final CheckpointFetch fetch = fetch(42);
		CheckpointFetch.Progress progress = CheckpointFetch.Progress.MORE;
		int rounds = 0;
		while (progress == CheckpointFetch.Progress.MORE) {
			progress = fetch.onReply(this.offer.answer(fetch.ask(0), 0));
			rounds++;
		}
		assertThat(progress).isEqualTo(CheckpointFetch.Progress.DONE);
		assertThat(rounds).isEqualTo(3);
		assertThat(fetch.snapshot().orElseThrow().throughOffset()).isEqualTo(THROUGH_OFFSET);
		assertThat(fetch.snapshot().orElseThrow().coverage()).isEqualTo(COVER);
		assertThat(Arrays.equals(fetch.snapshot().orElseThrow().stateBytes(), this.stateBytes)).isTrue();
	}

	// A peer that is behind answers first. Its state would revert what another daemon had
	// in force already.
	@Test
	void nothingBelowAnOffsetThatWasHeardOfIsTaken() {
		final CheckpointFetch fetch = fetch(43);
		assertThat(this.offer.answer(fetch.ask(0), 0).getAvailable()).isFalse();
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
	void partsOfTwoStatesAreNeverPutTogether() {
		final CheckpointFetch fetch = fetch(42);
		fetch.onReply(this.offer.answer(fetch.ask(0), 0));
		this.through++;
		this.offer.answer(CheckpointRequest.newBuilder().setStream("fleet").build(), TimeUnit.SECONDS.toNanos(2));
		final CheckpointReply second = this.offer.answer(fetch.ask(0), TimeUnit.SECONDS.toNanos(2));
		assertThat(second.getAvailable()).isFalse();
		assertThat(fetch.onReply(second)).isEqualTo(CheckpointFetch.Progress.FAILED);
	}

	// A stranger, or a late reply, sends parts that nobody asked for. They must neither
	// grow memory nor end up in a state.
	@Test
	void foreignOversizeAndUnaskedPartsEndTheFetch() {
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
	void theStateIsEncodedOnceASecondHoweverManyAskAndForgottenAfterwards() {
		for (int asker = 0; asker < 370; asker++) {
			assertThat(this.offer.answer(fetch(42).ask(0), asker).getAvailable()).isTrue();
		}
		assertThat(this.encodings).isEqualTo(1);
		this.offer.expire(TimeUnit.SECONDS.toNanos(11));
		final CheckpointRequest second = CheckpointRequest.newBuilder().setPart(1).build();
		assertThat(this.offer.answer(second, TimeUnit.SECONDS.toNanos(11)).getAvailable()).isFalse();
	}

}
