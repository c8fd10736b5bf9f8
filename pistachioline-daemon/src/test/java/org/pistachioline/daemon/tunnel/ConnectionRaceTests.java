package org.pistachioline.daemon.tunnel;

import java.net.ConnectException;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.web.OpenedConnection;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.protocol.peer.TunnelResult;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ConnectionRaceTests {

	private final WebLoop loop = new WebLoop("test");

	private final RecordedPath direct = new RecordedPath();

	private final RecordedPath first = new RecordedPath();

	private final RecordedPath second = new RecordedPath();

	@AfterEach
	void close() {
		this.loop.close();
	}

	private CompletableFuture<OpenedConnection> race(RecordedPath... paths) {
		final CompletableFuture<CompletableFuture<OpenedConnection>> started = new CompletableFuture<>();
		this.loop.execute(() -> started
			.complete(new ConnectionRace(this.loop, List.<ConnectionPath>of(paths).iterator()).start()));
		return started.join();
	}

	private static OpenedConnection connection() {
		return new OpenedConnection(new EmbeddedChannel(), true);
	}

	private static TunnelException answer(TunnelResult result) {
		return new TunnelException(result, null);
	}

	@Test
	void aDirectConnectionNeedsNoOther() {
		final OpenedConnection opened = connection();
		final CompletableFuture<OpenedConnection> race = race(this.direct, this.first);
		this.loop.execute(() -> this.direct.opening.complete(opened));
		assertThat(race.join()).isEqualTo(opened);
		assertThat(this.direct.chosen).isTrue();
		assertThat(this.first.opened).isFalse();
	}

	@Test
	void theNextPathIsTriedAtOnceWhenOneFails() {
		final OpenedConnection opened = connection();
		final CompletableFuture<OpenedConnection> race = race(this.direct, this.first, this.second);
		this.loop.execute(() -> {
			this.direct.opening.completeExceptionally(new ConnectException("refused"));
			this.first.opening.completeExceptionally(answer(TunnelResult.UNKNOWN_TARGET));
			this.second.opening.complete(opened);
		});
		assertThat(race.join()).isEqualTo(opened);
		assertThat(this.first.overdue).isFalse();
		assertThat(this.second.chosen).isTrue();
	}

	/**
	 * Guards against a request that waits for the whole connect timeout because a
	 * partition drops its packets silently.
	 */
	@Test
	void theNextPathIsTriedWhileASilentOneIsPending() {
		final OpenedConnection opened = connection();
		this.first.opening.complete(opened);
		assertThat(race(this.direct, this.first).join()).isEqualTo(opened);
		assertThat(this.direct.overdue).isTrue();
		// The race is over a moment before its loop cancels what is still pending.
		assertThatExceptionOfType(CancellationException.class)
			.isThrownBy(() -> this.direct.opening.get(10, TimeUnit.SECONDS));
	}

	@Test
	void aTargetThatRefusesEverybodyIsReportedAsRefusing() {
		assertThat(failureOf(TunnelResult.REFUSED)).isInstanceOf(ConnectException.class);
		assertThat(failureOf(TunnelResult.UNKNOWN_RESULT)).isInstanceOf(ConnectException.class);
	}

	/**
	 * Guards against a sound target that is taken for crashed by two daemons that are
	 * both partitioned from it.
	 */
	@Test
	void aTargetThatAnotherDaemonDoesNotReachEitherIsNotReportedAsRefusing() {
		assertThat(failureOf(TunnelResult.UNREACHABLE)).isNotInstanceOf(ConnectException.class);
	}

	private static Throwable failureOf(TunnelResult result) {
		final WebLoop own = new WebLoop("test");
		final RecordedPath refused = new RecordedPath();
		final RecordedPath tunnel = new RecordedPath();
		refused.opening.completeExceptionally(new ConnectException("refused"));
		tunnel.opening.completeExceptionally(answer(result));
		final CompletableFuture<OpenedConnection> race = new ConnectionRace(own,
				List.<ConnectionPath>of(refused, tunnel).iterator())
			.start();
		own.close();
		return race.handle((opened, failure) -> failure).join();
	}

	@Test
	void noPathIsWaitedForLongerThanATargetMayTakeToAccept() {
		final CompletableFuture<OpenedConnection> race = race(this.direct, this.first);
		this.loop.execute(() -> this.direct.opening.completeExceptionally(new ConnectTimeoutException()));
		assertThatExceptionOfType(CompletionException.class).isThrownBy(race::join)
			.withCauseInstanceOf(ConnectTimeoutException.class);
	}

	private static final class RecordedPath implements ConnectionPath {

		private final CompletableFuture<OpenedConnection> opening = new CompletableFuture<>();

		private boolean opened;

		private boolean chosen;

		private boolean overdue;

		@Override
		public CompletableFuture<OpenedConnection> open() {
			this.opened = true;
			return this.opening;
		}

		@Override
		public void onChosen() {
			this.chosen = true;
		}

		@Override
		public void onOverdue() {
			this.overdue = true;
		}

	}

}
