package org.pistachioline.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.cold.ColdTarget;
import org.pistachioline.protocol.peer.ColdNotice;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.PeerFrame;

import static org.assertj.core.api.Assertions.assertThat;

class ColdExchangeTests {

	private static final long SECOND = 1_000_000_000L;

	private final List<ColdTarget> known = new ArrayList<>();

	private final List<ColdTarget> received = new ArrayList<>();

	private final ColdExchange exchange = new ColdExchange(() -> this.known, this.received::addAll);

	@Test
	void whatOneDaemonKnowsReachesAnotherInHeartbeatsNoticesAndGreetings() {
		this.known.add(new ColdTarget("a", 3 * SECOND));
		this.known.add(new ColdTarget("warm", SECOND / 2));
		final Heartbeat.Builder heartbeat = Heartbeat.newBuilder();
		this.exchange.addTo(heartbeat, SECOND);
		this.exchange.onHeartbeat(null, heartbeat.build(), 10 * SECOND);
		this.exchange.onNotice(ColdExchange.notice(this.known, SECOND), 10 * SECOND);
		this.exchange.onNotice(this.exchange.greeting(SECOND).orElseThrow(), 10 * SECOND);
		final ColdTarget expected = new ColdTarget("a", 12 * SECOND);
		assertThat(this.received).containsExactly(expected, expected, expected);
	}

	@Test
	void aHeartbeatCarriesFewTargetsHoweverManyAreCold() {
		IntStream.range(0, 500).forEach((i) -> this.known.add(new ColdTarget("i-" + i, 9 * SECOND)));
		final Heartbeat.Builder heartbeat = Heartbeat.newBuilder();
		this.exchange.addTo(heartbeat, SECOND);
		assertThat(heartbeat.getColdTargetsCount()).isEqualTo(16);
		assertThat(this.exchange.greeting(SECOND).orElseThrow().getColdNotice().getTargetsCount()).isEqualTo(500);
	}

	/**
	 * Guards against a peer of another release, or a damaged frame, that makes targets
	 * cold for good.
	 */
	@Test
	void targetsWithoutAnIdOrWithAnImpossibleTimeAreLeftOut() {
		final ColdNotice.Builder notice = ColdNotice.newBuilder();
		notice.addTargetsBuilder().setRemainingMillis(2_000);
		notice.addTargetsBuilder().setInstanceId("a");
		notice.addTargetsBuilder().setInstanceId("b").setRemainingMillis(-1);
		notice.addTargetsBuilder().setInstanceId("c").setRemainingMillis(Long.MAX_VALUE);
		notice.addTargetsBuilder().setInstanceId("d").setRemainingMillis(2_000);
		this.exchange.onNotice(PeerFrame.newBuilder().setColdNotice(notice).build(), 0);
		this.exchange.onHeartbeat(null, Heartbeat.getDefaultInstance(), 0);
		assertThat(this.received).containsExactly(new ColdTarget("d", 2 * SECOND));
		assertThat(new ColdExchange(List::of, this.received::addAll).greeting(0)).isEmpty();
	}

}
