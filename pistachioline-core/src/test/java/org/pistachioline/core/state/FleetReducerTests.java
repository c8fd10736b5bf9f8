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

	// The answer to a formation's append is lost, its repeat lands, and the group is
	// dissolved some minutes later. Then the first append arrives after all. Taken for
	// new, it would form a group that nobody wants and hold its accelerators.
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

	// A new incarnation of a daemon is another writer and starts its sequences afresh;
	// its records must not pass for repeats.
	@Test
	void recordsOfANewIncarnationAreNotDuplicates() {
		apply(5, new PlannerClaim("domain", PlannerClaim.NO_EPOCH));
		final ApplyResult<FleetState> next = this.reducer.apply(this.state, this.offset,
				new LogRecord("planner#2", 1, 1, new PlannerClaim("domain", 0)));
		assertThat(next.isAccepted()).isTrue();
	}

	// More writers than are remembered have come and gone. The one that has been silent
	// the longest is forgotten, on all daemons the same one.
	@Test
	void theLeastRecentlySeenWriterIsEvictedFirst() {
		WriterMarks marks = WriterMarks.EMPTY;
		for (int writer = 0; writer <= WriterMarks.MAX_WRITERS; writer++) {
			marks = marks.with(writer, new LogRecord("w-" + writer, 1, 1, new PlannerClaim("domain", 0)));
		}
		assertThat(marks.marks()).hasSize(WriterMarks.MAX_WRITERS).doesNotContainKey("w-0").containsKey("w-1");
	}

}
