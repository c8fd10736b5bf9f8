package org.pistachioline.adapters.codec;

import com.google.protobuf.InvalidProtocolBufferException;

import org.pistachioline.core.state.ConfigState;
import org.pistachioline.protocol.records.ConfigSnapshot;

/**
 * Checkpoints the configuration with the version and offset at which it was accepted.
 */
public final class ConfigSnapshotCodec implements SnapshotCodec<ConfigState> {

	@Override
	public byte[] encode(ConfigState state) {
		return ConfigSnapshot.newBuilder()
			.setVersion(state.version())
			.setAcceptedOffset(state.acceptedOffset())
			.setAcceptedWriter(state.acceptedWriter())
			.setAcceptedSequence(state.acceptedSequence())
			.setManifest(ManifestCodec.encode(state.manifest()))
			.addAllWriters(WriterMarksCodec.encode(state.writers()))
			.build()
			.toByteArray();
	}

	@Override
	public ConfigState decode(byte[] stateBytes) throws CorruptRecordException {
		try {
			final ConfigSnapshot snapshot = ConfigSnapshot.parseFrom(stateBytes);
			return new ConfigState(snapshot.getVersion(), snapshot.getAcceptedOffset(), snapshot.getAcceptedWriter(),
					snapshot.getAcceptedSequence(), ManifestCodec.decode(snapshot.getManifest()),
					WriterMarksCodec.decode(snapshot.getWritersList()));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new CorruptRecordException(ex);
		}
	}

}
