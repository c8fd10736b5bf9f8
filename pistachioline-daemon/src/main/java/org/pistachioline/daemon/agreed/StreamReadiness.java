package org.pistachioline.daemon.agreed;

import java.util.Optional;

/**
 * Tells operators why a stream's state cannot be served from.
 */
public final class StreamReadiness {

	private StreamReadiness() {
	}

	/**
	 * Returns what is wrong with a stream's state.
	 * @param stream the stream
	 * @param view the newest view of it
	 * @return the reason; empty where the state can be served from
	 */
	public static Optional<String> notReadyReason(String stream, StreamView<?> view) {
		final String start = "stream '" + stream + "': ";
		return switch (view.condition()) {
			case UNREAD -> Optional.of(start + (view.needsCheckpoint()
					? "the log cannot be read and no daemon has given a checkpoint" : "it has not been read yet"));
			case LIMBO -> Optional.of(start + "records expired unread, and neither the log nor a daemon has given a "
					+ "checkpoint that covers them");
			case HALTED -> Optional
				.of(start + "a record at offset " + view.nextOffset() + " needs a newer release of this daemon");
			case WHOLE -> view.caughtUp() ? Optional.empty() : Optional.of(start + "it has not been read to its end");
		};
	}

}
