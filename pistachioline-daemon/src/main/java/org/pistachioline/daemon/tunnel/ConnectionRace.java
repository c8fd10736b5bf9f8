package org.pistachioline.daemon.tunnel;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.ConnectTimeoutException;

import org.pistachioline.adapters.web.OpenedConnection;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.protocol.peer.TunnelResult;

/**
 * Connects to a target over the first of several paths that works.
 * <p>
 * The next path is tried as soon as one fails, and while one takes longer than a
 * reachable target ever does; the first connection is used and the others are closed. A
 * silent partition thus delays a request by a fraction of the connect timeout. Nothing is
 * sent before a connection is chosen, so a request cannot run twice. All calls come from
 * the loop's thread.
 */
final class ConnectionRace {

	/** Reachable targets accept within milliseconds, those that are overloaded later. */
	private static final long OVERDUE_MILLIS = 150;

	private final WebLoop loop;

	private final Iterator<ConnectionPath> paths;

	private final CompletableFuture<OpenedConnection> winner = new CompletableFuture<>();

	private final List<CompletableFuture<OpenedConnection>> openings = new ArrayList<>();

	private final List<Throwable> failures = new ArrayList<>();

	ConnectionRace(WebLoop loop, Iterator<ConnectionPath> paths) {
		this.loop = loop;
		this.paths = paths;
	}

	/**
	 * Starts to connect.
	 * @return the first connection; fails with a {@link ConnectException} if the target
	 * refused all connections
	 */
	CompletableFuture<OpenedConnection> start() {
		this.winner.whenComplete((opened, failure) -> this.openings.forEach((opening) -> opening.cancel(false)));
		tryNext();
		return this.winner;
	}

	private void tryNext() {
		if (this.winner.isDone()) {
			return;
		}
		if (!this.paths.hasNext()) {
			failIfNoneIsLeft();
			return;
		}
		final ConnectionPath path = this.paths.next();
		final CompletableFuture<OpenedConnection> opening = path.open();
		this.openings.add(opening);
		final Successor successor = new Successor();
		opening.whenComplete((opened, failure) -> {
			if (opened != null) {
				choose(path, opened);
			}
			else if (!opening.isCancelled()) {
				onFailure(failure, successor);
			}
		});
		if (!opening.isDone()) {
			this.loop.after(() -> {
				if (!opening.isDone() && !this.winner.isDone()) {
					path.onOverdue();
					successor.start();
				}
			}, OVERDUE_MILLIS);
		}
	}

	private void choose(ConnectionPath path, OpenedConnection opened) {
		if (this.winner.isDone()) {
			opened.channel().close();
			return;
		}
		path.onChosen();
		this.winner.complete(opened);
	}

	private void onFailure(Throwable failure, Successor successor) {
		this.failures.add(failure);
		// The time in which a target must accept a connection has passed.
		if (failure instanceof ConnectTimeoutException) {
			this.winner.completeExceptionally(failure);
			return;
		}
		successor.start();
		failIfNoneIsLeft();
	}

	private void failIfNoneIsLeft() {
		if (!this.paths.hasNext() && this.failures.size() == this.openings.size()) {
			this.winner.completeExceptionally(verdict());
		}
	}

	// Another daemon that could not connect either way proves nothing about the target.
	private Throwable verdict() {
		return this.failures.stream()
			.filter((failure) -> !(failure instanceof ConnectException) && !isWithoutOpinion(failure))
			.findFirst()
			.or(() -> this.failures.stream().filter(ConnectException.class::isInstance).findFirst())
			.orElse(this.failures.get(0));
	}

	private static boolean isWithoutOpinion(Throwable failure) {
		return failure instanceof TunnelException tunnel && tunnel.result() != TunnelResult.UNREACHABLE;
	}

	/** Tries the next path once, when its predecessor fails or is overdue. */
	private final class Successor {

		private boolean started;

		void start() {
			if (!this.started) {
				this.started = true;
				tryNext();
			}
		}

	}

}
