package org.pistachioline.daemon.peer;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.evacuation.ZoneEvacuation;
import org.pistachioline.protocol.peer.EvacuationState;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.PeerFrame;

import static org.assertj.core.api.Assertions.assertThat;

class EvacuationExchangeTests {

	private static final List<ZoneEvacuation> WORDS = List.of(new ZoneEvacuation("z1", 7, true),
			new ZoneEvacuation("z2", 9, false));

	private final List<ZoneEvacuation> received = new ArrayList<>();

	private final EvacuationExchange exchange = new EvacuationExchange(() -> WORDS, this.received::addAll);

	@Test
	void wordsAndWithdrawalsReachAnotherDaemonInHeartbeatsNoticesAndGreetings() {
		final Heartbeat.Builder heartbeat = Heartbeat.newBuilder();
		this.exchange.addTo(heartbeat, 0);
		this.exchange.onHeartbeat(null, heartbeat.build(), 0);
		assertThat(this.received).isEqualTo(WORDS);
		this.exchange.onNotice(this.exchange.greeting(0).orElseThrow(), 0);
		this.exchange.onNotice(EvacuationExchange.notice(WORDS), 0);
		assertThat(this.received).hasSize(3 * WORDS.size());
		assertThat(heartbeat.getEvacuation().getAvailabilityZonesList()).containsExactly("z1");
		assertThat(heartbeat.getEvacuation().getPosition()).isEqualTo(9);
	}

	/**
	 * Guards against a peer of another release that fails this one, or is not understood.
	 */
	@Test
	void aPeerWithoutTheFieldsOrWithoutWordsIsUnderstood() {
		this.exchange.onHeartbeat(null, Heartbeat.getDefaultInstance(), 0);
		this.exchange.onNotice(PeerFrame.getDefaultInstance(), 0);
		assertThat(this.received).isEmpty();
		this.exchange.onNotice(PeerFrame.newBuilder()
			.setEvacuationNotice(EvacuationState.newBuilder().setPosition(5).addAvailabilityZones("z3"))
			.build(), 0);
		assertThat(this.received).containsExactly(new ZoneEvacuation("z3", 5, true));
		assertThat(new EvacuationExchange(List::of, this.received::addAll).greeting(0)).isEmpty();
	}

}
