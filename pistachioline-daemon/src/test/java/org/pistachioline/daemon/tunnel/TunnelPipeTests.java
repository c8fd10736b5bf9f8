package org.pistachioline.daemon.tunnel;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TunnelPipeTests {

	private final EmbeddedChannel target = new EmbeddedChannel();

	private final EmbeddedChannel caller = new EmbeddedChannel();

	/**
	 * Guards against tunnels of daemons that lost power, which would stay open until no
	 * further ones are permitted.
	 */
	@Test
	void aTunnelThatCarriesNothingForLongIsClosed() {
		TunnelPipe.join(this.caller, this.target);
		this.caller.advanceTimeBy(TunnelPipe.IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		this.caller.runPendingTasks();
		assertThat(this.caller.isOpen()).isFalse();
		assertThat(this.target.isOpen()).isFalse();
	}

	@Test
	void aTunnelThatCarriesSomethingStaysOpen() {
		TunnelPipe.join(this.caller, this.target);
		for (int i = 0; i < 4; i++) {
			this.caller.advanceTimeBy(TunnelPipe.IDLE_TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS);
			this.caller.runPendingTasks();
			this.target.writeInbound("event");
			assertThat(this.caller.<String>readOutbound()).isEqualTo("event");
		}
		assertThat(this.caller.isOpen()).isTrue();
	}

	// Guards against a request that is sent on although the daemon that sent it has given
	// it up already.
	@Test
	void whatIsResetInTheSameTurnDoesNotReachTheTarget() {
		TunnelPipe.join(this.caller, this.target);
		// An embedded channel runs its tasks whenever it is to read on.
		this.caller.config().setAutoRead(false);
		this.caller.pipeline().fireChannelRead("request").fireChannelReadComplete();
		this.caller.pipeline().fireExceptionCaught(new IOException("Connection reset"));
		this.caller.runPendingTasks();
		assertThat(this.target.outboundMessages()).isEmpty();
		assertThat(this.target.isOpen()).isFalse();
	}

}
