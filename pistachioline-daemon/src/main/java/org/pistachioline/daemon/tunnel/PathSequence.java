package org.pistachioline.daemon.tunnel;

import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.function.Supplier;

/**
 * The paths to a target in the order in which they are tried: the direct one first, or
 * last if the target is known as unreachable.
 */
final class PathSequence implements Iterator<ConnectionPath> {

	private final Supplier<Iterator<ConnectionPath>> tunnelSupplier;

	private ConnectionPath direct;

	private boolean directDue;

	private Iterator<ConnectionPath> tunnels;

	/**
	 * Creates a sequence.
	 * @param direct the direct path
	 * @param directFirst whether it comes first
	 * @param tunnels supplies the other paths; called only if they are needed, which
	 * almost never happens
	 */
	PathSequence(ConnectionPath direct, boolean directFirst, Supplier<Iterator<ConnectionPath>> tunnels) {
		this.direct = direct;
		this.directDue = directFirst;
		this.tunnelSupplier = tunnels;
	}

	@Override
	public boolean hasNext() {
		return this.direct != null || tunnels().hasNext();
	}

	@Override
	public ConnectionPath next() {
		if (!hasNext()) {
			throw new NoSuchElementException();
		}
		if (this.direct != null && (this.directDue || !tunnels().hasNext())) {
			final ConnectionPath next = this.direct;
			this.direct = null;
			return next;
		}
		return tunnels().next();
	}

	private Iterator<ConnectionPath> tunnels() {
		if (this.tunnels == null) {
			this.tunnels = this.tunnelSupplier.get();
		}
		return this.tunnels;
	}

}
