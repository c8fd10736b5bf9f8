package org.pistachioline.daemon.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import org.apache.pekko.actor.typed.ActorSystem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.core.claims.ClaimsReducer;
import org.pistachioline.core.claims.ClaimsState;
import org.pistachioline.core.stream.StreamAssignment;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.ClaimVerdict;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.daemon.InMemoryLog;
import org.pistachioline.daemon.agreed.AppendDuty;
import org.pistachioline.protocol.peer.PeerFrame;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimForwarderTests {

	private static final double APPENDS_PER_SECOND = 1e6;

	private static final String STREAM = "claims-0";

	private static final Set<String> IDS = new TreeSet<>(
			IntStream.range(0, StreamAssignment.MAX_DAEMONS_ALL_FOLLOW + 1).mapToObj((i) -> "d" + i).toList());

	private final InMemoryLog log = new InMemoryLog();

	private final List<ActorSystem<Void>> systems = new ArrayList<>();

	private final Map<String, ClaimForwarder> forwarders = new HashMap<>();

	private Predicate<PeerFrame> isLost = (frame) -> false;

	@AfterEach
	void stop() {
		this.systems.forEach(ActorSystem::terminate);
	}

	private ClaimForwarder daemon(String id) {
		final ActorSystem<Void> system = ActorSystems.create("daemon-" + id);
		this.systems.add(system);
		final AppendDuty appender = new AppendDuty(system, this.log, id, APPENDS_PER_SECOND, () -> 1);
		appender.start();
		final ClaimService local = new ClaimService(system, this.log, appender, "claims", 1);
		final ClaimForwarder forwarder = new ClaimForwarder(system, local, id, id + "#1", () -> IDS, this::deliver);
		this.forwarders.put(id, forwarder);
		local.start();
		forwarder.start();
		return forwarder;
	}

	private void deliver(String to, PeerFrame frame) {
		final ClaimForwarder receiver = this.forwarders.get(to);
		if (receiver != null && !this.isLost.test(frame)) {
			receiver.onFrame(frame);
		}
	}

	private static String follower() {
		return StreamAssignment.followers(STREAM, IDS).get(0);
	}

	private static String nonFollower(int index) {
		final List<String> order = StreamAssignment.rankedDaemons(STREAM, IDS);
		return order.get(order.size() - 1 - index);
	}

	private static RequestInfo request(String key) {
		return RequestInfo.forClaim("w", new ClaimRequirement(key, "digest", 60_000));
	}

	private ClaimsState folded() {
		return this.log.fold(STREAM, new ClaimsReducer());
	}

	// Guards against a request that runs twice when two daemons that do not follow the
	// partition of its key get it at the same time: the order of records on the log must
	// decide for both.
	@Test
	void oneOfTwoForwardedClaimsToTheSameKeyIsGranted() {
		daemon(follower());
		final ClaimForwarder one = daemon(nonFollower(0));
		final ClaimForwarder two = daemon(nonFollower(1));
		final CompletableFuture<ClaimResult> first = one.claim(request("k"));
		final CompletableFuture<ClaimResult> second = two.claim(request("k"));
		assertThat(List.of(first.join().verdict(), second.join().verdict()))
			.containsExactlyInAnyOrder(ClaimVerdict.GRANTED, ClaimVerdict.IN_PROGRESS);
	}

	// Guards against a resent claim request that is treated as new after its response was
	// lost: it would find the key held by its own claim, which then would neither run nor
	// be released.
	@Test
	void aResentClaimRequestGetsTheSameResponse() {
		final AtomicInteger responses = new AtomicInteger();
		this.isLost = (frame) -> frame.hasClaimAnswer() && responses.incrementAndGet() <= 2;
		daemon(follower());
		final ClaimForwarder requester = daemon(nonFollower(0));
		assertThat(requester.claim(request("k")).join().verdict()).isEqualTo(ClaimVerdict.GRANTED);
		assertThat(responses).hasValueGreaterThan(2);
		assertThat(folded().entries()).hasSize(1);
	}

	// Guards against losing an outcome whose frame is dropped on the way to the follower:
	// every repeat would read as unknown although the request is known to have run.
	@Test
	void anOutcomeIsResentUntilItIsLoggedAndARepeatAtAnotherDaemonGetsIt() {
		final AtomicInteger notes = new AtomicInteger();
		this.isLost = (frame) -> frame.hasClaimNote() && notes.incrementAndGet() <= 2;
		daemon(follower());
		final ClaimForwarder one = daemon(nonFollower(0));
		final ClaimForwarder two = daemon(nonFollower(1));
		final long offset = one.claim(request("k")).join().claimOffset();
		one.settle(request("k"), offset, 201, "application/json", "{\"run\":1}", false).join();
		final ClaimResult repeat = two.claim(request("k")).join();
		assertThat(repeat.verdict()).isEqualTo(ClaimVerdict.SETTLED);
		assertThat(repeat.outcome().orElseThrow().body()).isEqualTo("{\"run\":1}");
	}

	// Guards against a claim that waits forever when the follower of the partition is
	// dead but still counts as live. The caller must be told in time that nothing ran.
	@Test
	void aClaimWithoutAReachableFollowerIsUnavailable() {
		final ClaimForwarder requester = daemon(nonFollower(0));
		assertThat(requester.claim(request("k")).join().verdict()).isEqualTo(ClaimVerdict.UNAVAILABLE);
		assertThat(folded().entries()).isEmpty();
	}

	// Guards against a key blocked by a grant whose response arrives after the caller was
	// told that nothing ran: the claim must be released.
	@Test
	void aGrantThatArrivesAfterTheTimeoutIsReleased() {
		this.isLost = PeerFrame::hasClaimAnswer;
		daemon(follower());
		final ClaimForwarder requester = daemon(nonFollower(0));
		assertThat(requester.claim(request("k")).join().verdict()).isEqualTo(ClaimVerdict.UNAVAILABLE);
		this.isLost = (frame) -> false;
		requester.onFrame(
				ClaimFrames.claimResponse(1, ClaimResult.granted(folded().find("w", "k").orElseThrow().claimOffset())));
		this.log.awaitEntries(STREAM, 2).orTimeout(1, TimeUnit.MINUTES).join();
		assertThat(folded().entries()).isEmpty();
	}

}
