package org.pistachioline.core.state;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.record.GroupDissolution;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.PlannerClaim;
import org.pistachioline.core.record.RecordBody;

import static org.assertj.core.api.Assertions.assertThat;

class FleetReducerTests {

	private final FleetReducer reducer = new FleetReducer();

	private FleetState state = this.reducer.initial();

	private long offset;

	private void apply(long sequence, RecordBody body) {
		this.state = this.reducer.apply(this.state, this.offset, new LogRecord("planner", sequence, 1, body)).state();
		this.offset++;
	}

	// The response to the append of a formation is lost, the retry is stored, and the
	// group is dissolved later. Then the log stores the delayed first append. If it
	// was applied, it would form an unwanted group that holds its accelerators.
	@Test
	void aDelayedDuplicateFormationOfADissolvedGroupIsRejected() {
		final Member member = new Member("i-1", "domain", "10.0.0.1:80", "zone-a", 8);
		final GroupFormation formation = new GroupFormation("g", "model", 0, List.of(member), 1);
		apply(1, new PlannerClaim("domain", PlannerClaim.NO_EPOCH));
		apply(2, formation);
		apply(3, new GroupDissolution("g", 1, 0, "shrink"));
		apply(2, formation);
		assertThat(this.state.groups()).isEmpty();
		assertThat(this.state.groupIdsByInstance()).isEmpty();
	}

	// A new incarnation of a daemon is a new writer whose sequence numbers start again
	// at 1. Its records must not be rejected as duplicates.
	@Test
	void recordsOfANewIncarnationAreNotDuplicates() {
		apply(5, new PlannerClaim("domain", PlannerClaim.NO_EPOCH));
		final ApplyResult<FleetState> result = this.reducer.apply(this.state, this.offset,
				new LogRecord("planner#2", 1, 1, new PlannerClaim("domain", 0)));
		assertThat(result.isAccepted()).isTrue();
	}

	// There are more writers than the maximum that is kept. All daemons must evict the
	// same writer, or their states would diverge.
	@Test
	void theLeastRecentlySeenWriterIsEvictedFirst() {
		WriterMarks marks = WriterMarks.EMPTY;
		for (int writer = 0; writer <= WriterMarks.MAX_WRITERS; writer++) {
			marks = marks.with(writer, new LogRecord("w-" + writer, 1, 1, new PlannerClaim("domain", 0)));
		}
		assertThat(marks.marks()).hasSize(WriterMarks.MAX_WRITERS).doesNotContainKey("w-0").containsKey("w-1");
	}

}
