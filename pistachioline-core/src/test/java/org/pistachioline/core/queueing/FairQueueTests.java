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
				List.of(workspace("chain", 1, 500), workspace("counter", 1, 500), workspace("city", 3, 5)),
				WeightSpec.DEFAULT, DeadlineSpec.DEFAULT));
	}

	// A chain sends hundreds of requests a moment before a shop owner at the counter
	// sends
	// one. In order of arrival the owner would wait for all of them.
	@Test
	void aLightWorkspaceGoesNextThoughAFloodCameBefore() {
		for (int i = 0; i < 300; i++) {
			offer(0, "chain", 100, 0, 10);
		}
		poll(1, 1);
		poll(2, 1);
		final RequestInfo light = offer(3, "counter", 100, 0, 10);
		assertThat(poll(4, 1)).contains(light);
	}

	// One workspace asks for answers ten times as long. Counted in requests it would get
	// ten times the work of the other.
	@Test
	void sharesAreCountedInTokensAndByWeight() {
		for (int i = 0; i < 200; i++) {
			offer(0, "chain", 1_000, 0, 100);
			offer(0, "counter", 100, 0, 100);
		}
		final Map<String, Integer> served = new HashMap<>();
		for (int i = 0; i < 110; i++) {
			served.merge(poll(1, 1).orElseThrow().workspace(), 1, Integer::sum);
		}
		assertThat(served.get("counter")).isBetween(95, 105);
	}

	@Test
	void withinAWorkspacePriorityAndThenTheDeadlineDecides() {
		final RequestInfo late = offer(0, "chain", 10, 0, 9);
		final RequestInfo soon = offer(0, "chain", 10, 0, 5);
		final RequestInfo urgent = offer(0, "chain", 10, 7, 9);
		assertThat(poll(1, 9)).contains(urgent);
		assertThat(poll(1, 9)).contains(soon);
		assertThat(poll(1, 9)).contains(late);
	}

	// At a storm's height the queue holds minutes of work. A caller whose turn would come
	// after its deadline is told so when it arrives, and when to come back, rather than
	// after it has waited in vain.
	@Test
	void aRequestThatWouldBeLateIsRefusedAtOnceAndToldWhenToComeBack() {
		serveOne("chain", 1);
		Optional<Refusal> refusal = Optional.empty();
		int accepted = 0;
		while (refusal.isEmpty()) {
			refusal = this.queue.offer(2 * SECOND_NANOS, info("chain", 100, 0, 7));
			accepted++;
		}
		assertThat(accepted).isBetween(4, 8);
		assertThat(refusal.get().kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
		assertThat(refusal.get().retryAfterMillis()).isBetween(1_000L, 60_000L);
	}

	@Test
	void aWorkspaceQueuesNoMoreThanItsManifestAllows() {
		for (int i = 0; i < 5; i++) {
			offer(0, "city", 10, 0, 10);
		}
		assertThat(this.queue.offer(0, info("city", 10, 0, 10)).map(Refusal::kind)).contains(ErrorKind.QUEUE_FULL);
		assertThat(this.queue.offer(0, info("chain", 10, 0, 10))).isEmpty();
	}

	@Test
	void whatCannotStartInTimeLeavesTheQueueOnce() {
		final RequestInfo info = offer(0, "chain", 10, 0, 5);
		assertThat(this.queue.expire(4 * SECOND_NANOS)).isEmpty();
		assertThat(this.queue.expire(5 * SECOND_NANOS)).containsExactly(info);
		assertThat(this.queue.expire(6 * SECOND_NANOS)).isEmpty();
		assertThat(this.queue.size()).isZero();
	}

	// Work of 20,000 tokens holds a slot for minutes. If it fills every slot while the
	// counter is quiet for a moment, the counter waits for minutes too.
	@Test
	void longWorkLeavesTheSlotsThatOthersLatelyUsed() {
		for (int second = 0; second < 30; second++) {
			offer(second, "counter", 100, 0, 600);
		}
		for (int i = 0; i < 30; i++) {
			poll(30, 40 - i);
		}
		offer(30, "chain", 40_000, 0, 600);
		poll(30, 10);
		this.queue.onEnded(60 * SECOND_NANOS, info(this.nextId - 1, "chain", 40_000, 0, 600), true, 20_000,
				30 * SECOND_NANOS);
		int started = 0;
		for (int i = 0; i < 40; i++) {
			offer(60, "chain", 40_000, 0, 600);
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
		return new RequestInfo(id, workspace, TargetKind.MODEL, "sign-copy", 1, maxTokens, priority,
				deadlineSeconds * SECOND_NANOS, 600 * SECOND_NANOS, true, ClaimRequirement.NONE, "", List.of());
	}

	private static WorkspaceSpec workspace(String name, double weight, int queued) {
		return new WorkspaceSpec(name, List.of(), 1_000, 1_000_000, queued, weight, List.of(), List.of());
	}

}
