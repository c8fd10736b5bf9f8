package org.pistachioline.daemon.agreed;

import java.util.Optional;

/**
 * Explains to operators why requests cannot be served from the state of a stream.
 */
public final class StreamReadiness {

	private StreamReadiness() {
	}

	/**
	 * Returns why the state of a stream cannot be used.
	 * @param stream the stream
	 * @param view the newest view of the stream
	 * @return the reason; empty if the state can be used
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
