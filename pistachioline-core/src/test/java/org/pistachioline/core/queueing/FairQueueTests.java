package org.pistachioline.core.queueing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.manifest.DeadlineSpec;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;

import static org.assertj.core.api.Assertions.assertThat;

class FairQueueTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final FairQueue queue = new FairQueue(1_000);

	private long nextId = 1;

	@BeforeEach
	void configure() {
		this.queue.configure(new Manifest(List.of(), List.of(), List.of(),
				List.of(workspace("batch", 1, 500), workspace("interactive", 1, 500), workspace("bounded", 3, 5)),
				WeightSpec.DEFAULT, DeadlineSpec.DEFAULT));
	}

	// One workspace queues hundreds of requests a moment before another queues a single
	// one. In order of arrival, the single request would wait for all of them.
	@Test
	void aLightWorkspaceGoesNextAfterAFloodOfAnother() {
		for (int i = 0; i < 300; i++) {
			offer(0, "batch", 100, 0, 10);
		}
		poll(1, 1);
		poll(2, 1);
		final RequestInfo light = offer(3, "interactive", 100, 0, 10);
		assertThat(poll(4, 1)).contains(light);
	}

	// One workspace requests answers ten times as long as those of the other. Counted in
	// requests, it would get ten times the service.
	@Test
	void sharesAreCountedInTokensAndByWeight() {
		for (int i = 0; i < 200; i++) {
			offer(0, "batch", 1_000, 0, 100);
			offer(0, "interactive", 100, 0, 100);
		}
		final Map<String, Integer> served = new HashMap<>();
		for (int i = 0; i < 110; i++) {
			served.merge(poll(1, 1).orElseThrow().workspace(), 1, Integer::sum);
		}
		assertThat(served.get("interactive")).isBetween(95, 105);
	}

	@Test
	void withinAWorkspacePriorityAndThenDeadlineDecide() {
		final RequestInfo late = offer(0, "batch", 10, 0, 9);
		final RequestInfo soon = offer(0, "batch", 10, 0, 5);
		final RequestInfo urgent = offer(0, "batch", 10, 7, 9);
		assertThat(poll(1, 9)).contains(urgent);
		assertThat(poll(1, 9)).contains(soon);
		assertThat(poll(1, 9)).contains(late);
	}

	// Under overload the queue holds minutes of work. A request that would miss its
	// deadline must be refused on arrival, with a retry time, rather than after it has
	// waited in vain.
	@Test
	void aRequestThatWouldMissItsDeadlineIsRefusedOnArrivalWithARetryTime() {
		serveOne("batch", 1);
		Optional<Refusal> refusal = Optional.empty();
		int accepted = 0;
		while (refusal.isEmpty()) {
			refusal = this.queue.offer(2 * SECOND_NANOS, info("batch", 100, 0, 7));
			accepted++;
		}
		assertThat(accepted).isBetween(4, 8);
		assertThat(refusal.get().kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
		assertThat(refusal.get().retryAfterMillis()).isBetween(1_000L, 60_000L);
	}

	@Test
	void aWorkspaceQueuesNoMoreThanItsManifestAllows() {
		for (int i = 0; i < 5; i++) {
			offer(0, "bounded", 10, 0, 10);
		}
		assertThat(this.queue.offer(0, info("bounded", 10, 0, 10)).map(Refusal::kind)).contains(ErrorKind.QUEUE_FULL);
		assertThat(this.queue.offer(0, info("batch", 10, 0, 10))).isEmpty();
	}

	@Test
	void anExpiredRequestLeavesTheQueueOnce() {
		final RequestInfo info = offer(0, "batch", 10, 0, 5);
		assertThat(this.queue.expire(4 * SECOND_NANOS)).isEmpty();
		assertThat(this.queue.expire(5 * SECOND_NANOS)).containsExactly(info);
		assertThat(this.queue.expire(6 * SECOND_NANOS)).isEmpty();
		assertThat(this.queue.size()).isZero();
	}

	// Requests of 20,000 tokens hold a slot for minutes. If they took all slots while a
	// light workspace is idle for a moment, its next request would wait for minutes.
	@Test
	void longRequestsLeaveFreeTheSlotsThatOthersRecentlyUsed() {
		for (int second = 0; second < 30; second++) {
			offer(second, "interactive", 100, 0, 600);
		}
		for (int i = 0; i < 30; i++) {
			poll(30, 40 - i);
		}
		offer(30, "batch", 40_000, 0, 600);
		poll(30, 10);
		this.queue.onEnded(60 * SECOND_NANOS, info(this.nextId - 1, "batch", 40_000, 0, 600), true, 20_000,
				30 * SECOND_NANOS);
		int started = 0;
		for (int i = 0; i < 40; i++) {
			offer(60, "batch", 40_000, 0, 600);
		}
		while (poll(60, 40 - started).isPresent()) {
			started++;
		}
		assertThat(started).isBetween(20, 39);
	}

	private void serveOne(String workspace, int seconds) {
		final RequestInfo info = offer(0, workspace, 100, 0, 10);
		poll(0, 1);
		this.queue.onEnded(seconds * SECOND_NANOS, info, true, 100, seconds * SECOND_NANOS);
		offer(2, workspace, 100, 0, 10);
		poll(2, 1);
	}

	private Optional<RequestInfo> poll(long seconds, int freeSlots) {
		return this.queue.poll(seconds * SECOND_NANOS, (info) -> freeSlots);
	}

	private RequestInfo offer(long seconds, String workspace, int maxTokens, int priority, long deadlineSeconds) {
		final RequestInfo info = info(workspace, maxTokens, priority, deadlineSeconds);
		assertThat(this.queue.offer(seconds * SECOND_NANOS, info)).isEmpty();
		return info;
	}

	private RequestInfo info(String workspace, int maxTokens, int priority, long deadlineSeconds) {
		return info(this.nextId++, workspace, maxTokens, priority, deadlineSeconds);
	}

	private static RequestInfo info(long id, String workspace, int maxTokens, int priority, long deadlineSeconds) {
		return new RequestInfo(id, workspace, TargetKind.MODEL, "model", 1, maxTokens, priority,
				deadlineSeconds * SECOND_NANOS, 600 * SECOND_NANOS, true, ClaimRequirement.NONE, "", List.of());
	}

	private static WorkspaceSpec workspace(String name, double weight, int queued) {
		return new WorkspaceSpec(name, List.of(), 1_000, 1_000_000, queued, weight, List.of(), List.of());
	}

}
