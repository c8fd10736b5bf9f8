package org.pistachioline.daemon.replica;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.GroupId;
import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.replica.MemberState;
import org.pistachioline.core.replica.Membership;
import org.pistachioline.core.replica.OrderFencing;
import org.pistachioline.core.replica.OrderOutcome;
import org.pistachioline.core.replica.PlannerTimes;
import org.pistachioline.core.replica.ReplicaOrder;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.daemon.event.EventRecorder;
import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.port.OrderSender;
import org.pistachioline.daemon.port.PlannerLease;
import org.pistachioline.daemon.port.ProbeResult;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicaDutyTests {

	private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

	private final EventRecorder events = new EventRecorder();

	// Never started, so that its ring stays full.
	private final ReplicaDuty duty = new ReplicaDuty(null, new HeldLease(), new AnsweringInstances(),
			new PlannerTimes(SECOND_NANOS, SECOND_NANOS), (targets) -> {
				// Targets are not part of these tests.
			}, () -> false, false, OrderFencing.ENFORCED);

	@AfterEach
	void stop() {
		this.events.close();
	}

	// Guards against answers of probes that are dropped without a trace.
	@Test
	void probeResultsThatDoNotFitIntoTheRingAreLogged() {
		this.duty.onTick();
		this.duty.onMessage(new ReplicaMessage.InstancesUpdated(List.of(head())));
		while (this.duty.rings().get(0).refusedCount() == 0) {
			this.duty.onLoadReport("i-1", new LoadReport(0, 0, 0));
		}
		assertThat(this.events.events(EventId.RING_FULL)).isEmpty();
		this.duty.onMessage(new ReplicaMessage.TargetStalled("i-1@1"));
		assertThat(this.events.events(EventId.RING_FULL)).singleElement()
			.satisfies((fields) -> assertThat(fields).containsEntry("ring", "replicas")
				.containsEntry("message", "probe results")
				.containsEntry("dropped", "1"));
	}

	private static ServingInstance head() {
		return new ServingInstance("i-1", "pool", "127.0.0.1:9", "zone", "", false, 4, Set.of(),
				Optional.of(new Membership(GroupId.of("m", 1), 0, MemberState.OPEN)));
	}

	private static final class HeldLease implements PlannerLease {

		@Override
		public void start() {
			// Held from the beginning.
		}

		@Override
		public void stop() {
			// Never released.
		}

		@Override
		public Optional<Long> term(long nowNanos) {
			return Optional.of(1L);
		}

		@Override
		public void setCandidacy(BooleanSupplier isCandidate) {
			// Held from the beginning.
		}

		@Override
		public void release() {
			// Never released.
		}

	}

	private static final class AnsweringInstances implements OrderSender {

		@Override
		public CompletableFuture<OrderOutcome> send(ReplicaOrder order, long fencingToken) {
			throw new IllegalStateException("no service is configured");
		}

		@Override
		public void setInstanceListener(InstanceListener listener) {
			// Backoffs are not part of these tests.
		}

		@Override
		public CompletableFuture<ProbeResult> probe(ServingInstance instance) {
			return CompletableFuture.completedFuture(ProbeResult.ANSWERED);
		}

	}

}
