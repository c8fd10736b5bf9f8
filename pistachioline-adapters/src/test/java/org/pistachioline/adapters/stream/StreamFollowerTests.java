package org.pistachioline.adapters.stream;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.codec.ConfigSnapshotCodec;
import org.pistachioline.adapters.codec.FleetSnapshotCodec;
import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.platform.LogPage;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.ManifestProposal;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.PlannerClaim;
import org.pistachioline.core.record.UnknownBody;
import org.pistachioline.core.state.ApplyResult;
import org.pistachioline.core.state.ConfigReducer;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.FleetReducer;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.Reducer;
import org.pistachioline.core.stream.CheckpointCoverage;
import org.pistachioline.core.stream.StreamCondition;

import static org.assertj.core.api.Assertions.assertThat;

class StreamFollowerTests {

	private final StreamPages stream = new StreamPages();

	private final StreamPages.Notes notes = new StreamPages.Notes();

	private final StreamFollower<ConfigState> follower = newcomer();

	private StreamFollower<ConfigState> newcomer() {
		return new StreamFollower<>(new ConfigReducer(), new ConfigSnapshotCodec(), this.notes);
	}

	private static ManifestProposal proposal(long baseVersion) {
		return new ManifestProposal(baseVersion, Manifest.EMPTY);
	}

	private void publishTwice() {
		this.stream.append("operator", 1, proposal(0));
		this.stream.append("operator", 2, proposal(1));
		this.stream.readAll(this.follower);
	}

	private void checkpoint(StreamFollower<ConfigState> from, String writer) {
		final byte[] stateBytes = new ConfigSnapshotCodec().encode(from.state());
		CheckpointParts.cut(from.nextOffset() - 1, stateBytes)
			.forEach((part) -> this.stream.append(writer, part.part() + 1, part));
	}

	// The log keeps records for a limited time, and every daemon is replaced after the
	// last manifest has expired. A new daemon that took what is left for all there is
	// would serve no configuration, or accept a manifest on base version 0 again.
	@Test
	void retentionPassesEveryDaemonIsReplacedAndTheConfigurationIsTheSame() {
		publishTwice();
		checkpoint(this.follower, "daemon");
		this.stream.readAll(this.follower);
		this.stream.expireBelow(2);
		final StreamFollower<ConfigState> replaced = newcomer();
		this.stream.readAll(replaced);
		assertThat(replaced.state()).isEqualTo(this.follower.state());
		assertThat(replaced.state().version()).isEqualTo(2);
		assertThat(replaced.state().acceptedOffset()).isEqualTo(1);
		assertThat(replaced.caughtUp()).isTrue();
		this.stream.append("operator", 2, proposal(1));
		this.stream.readAll(replaced);
		assertThat(replaced.state().version()).isEqualTo(2);
	}

	// The same for groups. A new daemon that gave the groups new epochs, or forgot an
	// instance's last one, would order instances about with fencing numbers that never
	// were agreed.
	@Test
	void retentionPassesAndGroupsKeepTheirOriginalEpochs() {
		final StreamFollower<FleetState> before = new StreamFollower<>(new FleetReducer(), new FleetSnapshotCodec(),
				this.notes);
		final Member member = new Member("i-1", "domain", "10.0.0.1:80", "zone-a", 8);
		this.stream.append("daemon", 1, new PlannerClaim("domain", PlannerClaim.NO_EPOCH));
		this.stream.append("daemon", 2, new GroupFormation("g", "model", 0, List.of(member), 1));
		this.stream.readAll(before);
		final byte[] stateBytes = new FleetSnapshotCodec().encode(before.state());
		this.stream.append("daemon", 3, new CheckpointPart(1, 0, 1, stateBytes));
		this.stream.expireBelow(2);
		final StreamFollower<FleetState> replaced = new StreamFollower<>(new FleetReducer(), new FleetSnapshotCodec(),
				this.notes);
		this.stream.readAll(replaced);
		this.stream.readAll(before);
		assertThat(replaced.state()).isEqualTo(before.state());
		assertThat(replaced.state().groups().get("g").epoch()).isEqualTo(1);
		assertThat(replaced.state().groupIdsByInstance()).containsEntry("i-1", "g");
		assertThat(replaced.state().lastEpochs()).containsEntry("i-1", 1L);
	}

	// Records expired and no checkpoint is left. The daemon must say that it does not
	// know, as an empty state would answer "there is no such claim" to a claim that runs.
	@Test
	void withoutACheckpointAGapStaysLimboAndNothingIsFolded() {
		publishTwice();
		this.stream.append("other", 1, proposal(2));
		this.stream.expireBelow(2);
		final StreamFollower<ConfigState> replaced = newcomer();
		this.stream.readAll(replaced);
		assertThat(replaced.condition()).isEqualTo(StreamCondition.LIMBO);
		assertThat(replaced.caughtUp()).isFalse();
		assertThat(replaced.state()).isEqualTo(ConfigState.EMPTY);
		assertThat(replaced.foldedRecords()).isZero();
		assertThat(this.notes.events()).contains(EventId.LOG_GAP);
	}

	// A daemon was paused for longer than the log keeps records. Its own state is older
	// than the log's head, and it must come back by a checkpoint, not by folding on.
	@Test
	void aDaemonPausedPastTheRetentionComesBackByACheckpointThatLandsLater() {
		publishTwice();
		final StreamFollower<ConfigState> other = newcomer();
		this.stream.append("operator", 3, proposal(2));
		this.stream.append("operator", 4, proposal(3));
		this.stream.readAll(other);
		this.stream.expireBelow(3);
		this.stream.readAll(this.follower);
		assertThat(this.follower.condition()).isEqualTo(StreamCondition.LIMBO);
		assertThat(this.follower.state().version()).isEqualTo(2);
		checkpoint(other, "other");
		this.stream.readAll(this.follower);
		this.stream.readAll(other);
		assertThat(this.follower.state()).isEqualTo(other.state());
	}

	// A daemon dies half-way through its checkpoint while another writes its own. Mixing
	// their parts would make a state that never was.
	@Test
	void partsOfTwoWritersAreNotMixedAndAHalfWrittenCheckpointIsIgnored() {
		publishTwice();
		final byte[] stateBytes = new ConfigSnapshotCodec().encode(this.follower.state());
		final byte[] firstHalf = Arrays.copyOfRange(stateBytes, 0, 3);
		final byte[] secondHalf = Arrays.copyOfRange(stateBytes, 3, stateBytes.length);
		this.stream.append("daemon", 1, new CheckpointPart(1, 0, 2, firstHalf));
		this.stream.append("dead", 1, new CheckpointPart(1, 1, 2, new byte[] { (byte) 0xff }));
		this.stream.append("daemon", 2, new CheckpointPart(1, 1, 2, secondHalf));
		this.stream.expireBelow(2);
		final StreamFollower<ConfigState> replaced = newcomer();
		this.stream.readAll(replaced);
		this.stream.readAll(this.follower);
		assertThat(replaced.state()).isEqualTo(this.follower.state());
		assertThat(this.follower.cover().throughOffset()).isEqualTo(1);
	}

	// A checkpoint whose next record has expired leaves a hole behind it; to load it
	// would revert what stood in the hole.
	@Test
	void aCheckpointThatDoesNotReachTheHeadIsNotLoaded() {
		publishTwice();
		checkpoint(this.follower, "daemon");
		this.stream.append("operator", 3, proposal(2));
		this.stream.append("operator", 4, proposal(3));
		// The part at offset 2 is still there, but as a copy behind the expired manifest.
		this.stream.append("daemon", 2,
				new CheckpointPart(1, 0, 1, new ConfigSnapshotCodec().encode(this.follower.state())));
		this.stream.expireBelow(4);
		final StreamFollower<ConfigState> replaced = newcomer();
		this.stream.readAll(replaced);
		assertThat(replaced.condition()).isEqualTo(StreamCondition.LIMBO);
	}

	// Somebody writes garbage, or more than the log's limit, onto the stream. A daemon
	// that died of it would die again at each start, and with it all others.
	@Test
	void corruptAndOversizeEntriesAreSkippedByAllAlike() {
		this.stream.append("operator", 1, proposal(0));
		this.stream.appendBytes(new byte[] { (byte) 0xff, 0x01, 0x02 });
		this.stream.appendBytes(new byte[StreamFollower.MAX_ENTRY_BYTES + 1]);
		this.stream.appendBytes(RecordCodec.encode(List.of(new LogRecord("", 0, 0, new UnknownBody()))));
		this.stream.append("operator", 2, proposal(1));
		this.stream.readAll(this.follower);
		assertThat(this.follower.state().version()).isEqualTo(2);
		assertThat(this.follower.skippedEntries()).isEqualTo(3);
		assertThat(this.notes.only(EventId.RECORD_CORRUPT, EventId.RECORD_OVERSIZE))
			.containsExactly(EventId.RECORD_CORRUPT, EventId.RECORD_OVERSIZE, EventId.RECORD_CORRUPT);
	}

	// During a rolling upgrade a newer daemon writes a hint that older ones do not know;
	// its schema is the old one because skipping it changes nothing.
	@Test
	void anUnknownKindOfAKnownSchemaIsSkipped() {
		this.stream.append("newer", 1, new UnknownBody());
		this.stream.append("operator", 1, proposal(0));
		this.stream.readAll(this.follower);
		assertThat(this.follower.state().version()).isEqualTo(1);
		assertThat(this.follower.condition()).isEqualTo(StreamCondition.WHOLE);
	}

	// During a rolling upgrade a newer daemon writes a record that changes the state. An
	// older one that skipped it would go on with another state than the rest, and could
	// put an instance into a second group.
	@Test
	void aNewerSchemaStopsTheFollowerInFrontOfTheRecord() {
		this.stream.append("operator", 1, proposal(0));
		final int newer = LogRecord.CURRENT_SCHEMA + 1;
		this.stream.appendBytes(RecordCodec.encode(List.of(new LogRecord("newer", 1, newer, new UnknownBody()))));
		this.stream.append("operator", 2, proposal(1));
		this.stream.readAll(this.follower);
		assertThat(this.follower.condition()).isEqualTo(StreamCondition.HALTED);
		assertThat(this.follower.nextOffset()).isEqualTo(1);
		assertThat(this.follower.state().version()).isEqualTo(1);
		assertThat(
				this.follower.restore(9, new ConfigSnapshotCodec().encode(ConfigState.EMPTY), CheckpointCoverage.NONE))
			.isFalse();
	}

	// The platform restores its log from a backup and loses the end. What was in force
	// must not revert.
	@Test
	void aLogThatLostItsEndChangesNothing() {
		publishTwice();
		assertThat(this.follower.onPage(new LogPage(0, 1, List.of()))).isFalse();
		assertThat(this.follower.state().version()).isEqualTo(2);
		assertThat(this.notes.events()).contains(EventId.LOG_END_REGRESSED);
	}

	@Test
	void aMissingEntryInsideAPageIsReadAgainAndNotJumpedOver() {
		publishTwice();
		this.stream.append("operator", 3, proposal(2));
		final LogPage whole = this.stream.page(0);
		final StreamFollower<ConfigState> other = newcomer();
		final LogPage holed = new LogPage(0, 3, List.of(whole.entries().get(0), whole.entries().get(2)));
		assertThat(other.onPage(holed)).isFalse();
		assertThat(other.readOffset()).isEqualTo(1);
		this.stream.readAll(other);
		assertThat(other.state().version()).isEqualTo(3);
	}

	// A peer that restarted late offers its older state. Taking it would revert the
	// configuration here.
	@Test
	void aPeersOlderCheckpointIsNotTaken() {
		publishTwice();
		final byte[] empty = new ConfigSnapshotCodec().encode(ConfigState.EMPTY);
		assertThat(this.follower.restore(0, empty, CheckpointCoverage.NONE)).isFalse();
		assertThat(this.follower.restore(1, empty, CheckpointCoverage.NONE)).isFalse();
		assertThat(this.follower.restore(5, new byte[] { (byte) 0xff }, CheckpointCoverage.NONE)).isFalse();
		assertThat(this.follower.state().version()).isEqualTo(2);
	}

	// The log is down and all daemons but one are replaced at once. The new ones take the
	// survivor's state, and go on from its offset when the log returns.
	@Test
	void aSurvivorsCheckpointCarriesANewDaemonThroughALogOutage() {
		publishTwice();
		final StreamFollower<ConfigState> replaced = newcomer();
		final byte[] stateBytes = new ConfigSnapshotCodec().encode(this.follower.state());
		assertThat(replaced.restore(this.follower.nextOffset() - 1, stateBytes, this.follower.cover())).isTrue();
		assertThat(replaced.state()).isEqualTo(this.follower.state());
		assertThat(replaced.caughtUp()).isTrue();
		this.stream.append("operator", 3, proposal(2));
		this.stream.readAll(replaced);
		assertThat(replaced.state().version()).isEqualTo(3);
	}

	// All daemons have started from a survivor while the log was down. If each took the
	// survivor's state for a checkpoint on the log, none would write the next one, and
	// after the retention a new daemon would find nothing.
	@Test
	void aStateFromAPeerIsNotTakenForACheckpointOnTheLog() {
		publishTwice();
		final StreamFollower<ConfigState> replaced = newcomer();
		replaced.restore(1, new ConfigSnapshotCodec().encode(this.follower.state()), this.follower.cover());
		assertThat(replaced.cover()).isEqualTo(new CheckpointCoverage(-1, StreamPages.ENTRY_INTERVAL_MILLIS));
		checkpoint(this.follower, "daemon");
		this.stream.readAll(replaced);
		assertThat(replaced.cover().throughOffset()).isEqualTo(1);
	}

	// A fault in the reducer shows on one record. A daemon that read it again and again
	// would never see the records behind it.
	@Test
	void aRecordOnWhichTheReducerFailsIsSkipped() {
		final Reducer<ConfigState> failing = new Reducer<>() {

			private final ConfigReducer sound = new ConfigReducer();

			@Override
			public ConfigState initial() {
				return this.sound.initial();
			}

			@Override
			public ApplyResult<ConfigState> apply(ConfigState state, long offset, LogRecord record) {
				if (offset == 1) {
					throw new IllegalStateException("a fault");
				}
				return this.sound.apply(state, offset, record);
			}

		};
		this.stream.append("operator", 1, proposal(0));
		this.stream.append("other", 1, proposal(1));
		this.stream.append("operator", 2, proposal(1));
		final StreamFollower<ConfigState> other = new StreamFollower<>(failing, new ConfigSnapshotCodec(), this.notes);
		this.stream.readAll(other);
		assertThat(other.state().version()).isEqualTo(2);
		assertThat(this.notes.events()).contains(EventId.REDUCER_FAILED);
	}

	// Many entries come between two checkpoints. The age of the oldest entry that is
	// still needed must never be taken too young, or its checkpoint comes too late.
	@Test
	void theCoverNamesNoLaterTimeThanThatOfTheOldestUncoveredEntry() {
		for (int i = 1; i <= 500; i++) {
			this.stream.append("operator", i, proposal(-1));
		}
		this.stream.readAll(this.follower);
		assertThat(this.follower.cover()).isEqualTo(new CheckpointCoverage(-1, StreamPages.ENTRY_INTERVAL_MILLIS));
		final long throughOffset = 399;
		this.stream.append("daemon", 1, new CheckpointPart(throughOffset, 0, 1, new byte[0]));
		this.stream.readAll(this.follower);
		final CheckpointCoverage cover = this.follower.cover();
		final long oldestMillis = (throughOffset + 2) * StreamPages.ENTRY_INTERVAL_MILLIS;
		assertThat(cover.throughOffset()).isEqualTo(throughOffset);
		assertThat(cover.oldestUncoveredMillis()).isBetween(oldestMillis - 20 * StreamPages.ENTRY_INTERVAL_MILLIS,
				oldestMillis);
	}

}
