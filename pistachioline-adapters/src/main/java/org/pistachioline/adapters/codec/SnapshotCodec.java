package org.pistachioline.adapters.codec;

/**
 * Turns the state of one stream into a checkpoint's bytes and back, with all original
 * offsets.
 *
 * @param <S> the type of state
 */
public interface SnapshotCodec<S> {

	/**
	 * Encodes a state.
	 * @param state the state
	 * @return its bytes
	 */
	byte[] encode(S state);

	/**
	 * Decodes a state.
	 * @param stateBytes its bytes
	 * @return the state
	 * @throws CorruptRecordException if the bytes are not such a state
	 */
	S decode(byte[] stateBytes) throws CorruptRecordException;

}
