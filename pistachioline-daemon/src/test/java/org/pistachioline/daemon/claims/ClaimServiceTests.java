package org.pistachioline.daemon.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.pekko.actor.typed.ActorSystem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.core.claims.ClaimsReducer;
import org.pistachioline.core.claims.ClaimsState;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.ClaimVerdict;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.daemon.InMemoryLog;
import org.pistachioline.daemon.agreed.AppendDuty;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimServiceTests {

	private static final String STREAM = "claims-0";

	private static final int KEYS = 50;

	private static final double APPENDS_PER_SECOND = 1_000;

	private final InMemoryLog log = new InMemoryLog();

	private final List<ActorSystem<Void>> systems = new ArrayList<>();

	@AfterEach
	void stop() {
		this.systems.forEach(ActorSystem::terminate);
	}

	private ClaimService daemon(String writer, long timeoutMillis) {
		final ClaimService service = unstartedService(writer, timeoutMillis);
		service.start();
		service.whenCaughtUp().join();
		return service;
	}

	private ClaimService unstartedService(String writer, long timeoutMillis) {
		final ActorSystem<Void> system = ActorSystems.create("daemon-" + writer);
		this.systems.add(system);
		final AppendDuty appender = new AppendDuty(system, this.log, writer, APPENDS_PER_SECOND, () -> 1);
		appender.start();
		return new ClaimService(system, this.log, appender, "claims", 1, timeoutMillis);
	}

	private static RequestInfo request(long requestId, String key, String digest) {
		return new RequestInfo(requestId, "w", TargetKind.SERVICE, "orders", 1, 1, 0, 0, 0, false,
				new ClaimRequirement(key, digest, 60_000), "", List.of());
	}

	private ClaimsState folded() {
		return this.log.fold(STREAM, new ClaimsReducer());
	}

	// Guards against a request that runs twice when a caller sends it to two daemons at
	// once while responses to appends are lost and appends are stored twice.
	@Test
	void oneOfTwoRacingDaemonsIsGrantedTheKey() {
		final ClaimService one = daemon("one", 60_000);
		final List<CompletableFuture<ClaimResult>> first = new ArrayList<>();
		final List<CompletableFuture<ClaimResult>> second = new ArrayList<>();
		final ClaimService two = daemon("two", 60_000);
		this.log.loseResponses(5);
		this.log.duplicateAppends(5);
		for (int i = 0; i < KEYS; i++) {
			first.add(one.claim(request(i, "k" + i, "d")));
			second.add(two.claim(request(i, "k" + i, "d")));
		}
		for (int i = 0; i < KEYS; i++) {
			assertThat(List.of(first.get(i).join().verdict(), second.get(i).join().verdict()))
				.containsExactlyInAnyOrder(ClaimVerdict.GRANTED, ClaimVerdict.IN_PROGRESS);
		}
	}

	// Guards against a claim that stays held after the caller was told that nothing ran,
	// when its record is folded only after the timeout. It must be released, so that a
	// retry can be granted.
	@Test
	void aClaimFoldedAfterTheTimeoutIsReleased() {
		final ClaimService one = daemon("one", 20);
		this.log.setHidden(true);
		final ClaimResult late = one.claim(request(1, "k", "d")).join();
		assertThat(late.verdict()).isEqualTo(ClaimVerdict.UNAVAILABLE);
		this.log.setHidden(false);
		this.log.awaitEntries(STREAM, 2).join();
		assertThat(folded().find("w", "k")).isEmpty();
	}

	// A repeat at another daemon gets the stored outcome; a different request with the
	// same key is rejected and not run.
	@Test
	void aRepeatGetsTheStoredOutcomeAndAReusedKeyIsRefused() {
		final ClaimService one = daemon("one", 60_000);
		final ClaimResult granted = one.claim(request(1, "k", "d")).join();
		one.settle(request(1, "k", "d"), granted.claimOffset(), 201, "application/json", "{}", false);
		this.log.awaitEntries(STREAM, 2).join();
		final ClaimService two = daemon("two", 60_000);
		assertThat(two.claim(request(2, "k", "d")).join().verdict()).isEqualTo(ClaimVerdict.SETTLED);
		assertThat(two.claim(request(3, "k", "other")).join().verdict()).isEqualTo(ClaimVerdict.REUSED);
		assertThat(two.find(request(2, "k", "d")).orElseThrow().outcome().orElseThrow().body()).isEqualTo("{}");
	}

	// Guards against running a request twice after a daemon died with a claim. It is
	// unknown whether the request was sent, so repeats read as unknown once the claim has
	// outlived the longest run.
	@Test
	void theClaimOfACrashedDaemonIsUnknownAndNeverRunsAgain() {
		daemon("one", 60_000).claim(request(1, "k", "d")).join();
		final ClaimService two = daemon("two", 60_000);
		final RequestInfo withinRunBound = request(2, "k", "d");
		final RequestInfo pastRunBound = new RequestInfo(3, "w", TargetKind.SERVICE, "orders", 1, 1, 0, 0, 0, false,
				new ClaimRequirement("k", "d", 60_000, -1), "", List.of());
		assertThat(two.claim(withinRunBound).join().verdict()).isEqualTo(ClaimVerdict.IN_PROGRESS);
		assertThat(two.claim(pastRunBound).join().verdict()).isEqualTo(ClaimVerdict.UNKNOWN);
	}

	// Guards against a daemon that has not read the stream to its end: it does not find
	// the key, but must neither report that the request did not run nor claim the key.
	@Test
	void aDaemonThatHasNotReadAllClaimsAnswersWithLimbo() {
		final ClaimService unread = unstartedService("new", 60_000);
		assertThat(unread.claim(request(1, "k", "d")).join().verdict()).isEqualTo(ClaimVerdict.LIMBO);
		assertThat(this.log.awaitEntries(STREAM, 0).join()).isEmpty();
	}

}
