package org.pistachioline.adapters.codec;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.record.GroupDissolution;
import org.pistachioline.core.record.GroupDrain;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.record.KeyRelease;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.ManifestProposal;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.PlannerClaim;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.record.RequestQuarantine;
import org.pistachioline.core.record.RequestSuspicion;
import org.pistachioline.core.record.UnknownBody;
import org.pistachioline.protocol.records.Checkpoint;
import org.pistachioline.protocol.records.Record;
import org.pistachioline.protocol.records.RecordBatch;

/**
 * Turns batches of records into log entries and back.
 */
public final class RecordCodec {

	private RecordCodec() {
	}

	/**
	 * Encodes records into one log entry.
	 * @param records the records in order
	 * @return the entry's bytes
	 */
	public static byte[] encode(List<LogRecord> records) {
		final RecordBatch.Builder batch = RecordBatch.newBuilder();
		for (final LogRecord record : records) {
			batch.addRecords(encode(record));
		}
		return batch.build().toByteArray();
	}

	/**
	 * Decodes one log entry.
	 * @param entryBytes the entry's bytes
	 * @return its records in order
	 * @throws CorruptRecordException if the bytes are not a batch of records
	 */
	public static List<LogRecord> decode(byte[] entryBytes) throws CorruptRecordException {
		try {
			final List<LogRecord> records = new ArrayList<>();
			for (final Record record : RecordBatch.parseFrom(entryBytes).getRecordsList()) {
				records.add(decode(record));
			}
			return records;
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new CorruptRecordException(ex);
		}
	}

	private static LogRecord decode(Record record) {
		if (record.getWriter().isEmpty() || record.getSequence() < 1 || record.getSchema() < 1) {
			throw new IllegalArgumentException("a record without writer, sequence or schema");
		}
		// A newer form may not decode here at all, and must be told from a corrupt one.
		final boolean newer = record.getSchema() > LogRecord.CURRENT_SCHEMA;
		return new LogRecord(record.getWriter(), record.getSequence(), record.getSchema(),
				newer ? new UnknownBody() : decodeBody(record));
	}

	private static Record encode(LogRecord record) {
		final Record.Builder builder = Record.newBuilder()
			.setWriter(record.writer())
			.setSequence(record.sequence())
			.setSchema(record.schema());
		encodeBody(builder, record.body());
		return builder.build();
	}

	private static void encodeBody(Record.Builder builder, RecordBody body) {
		if (body instanceof ManifestProposal proposal) {
			builder.setManifest(org.pistachioline.protocol.records.ManifestProposal.newBuilder()
				.setBaseVersion(proposal.baseVersion())
				.setManifest(ManifestCodec.encode(proposal.manifest())));
		}
		else if (body instanceof PlannerClaim claim) {
			builder.setPlannerClaim(org.pistachioline.protocol.records.PlannerClaim.newBuilder()
				.setFabricDomain(claim.fabricDomain())
				.setExpectedEpoch(claim.expectedEpoch()));
		}
		else if (body instanceof GroupFormation formation) {
			builder.setFormation(org.pistachioline.protocol.records.GroupFormation.newBuilder()
				.setGroupId(formation.groupId())
				.setModel(formation.model())
				.setPlannerEpoch(formation.plannerEpoch())
				.addAllMembers(formation.members().stream().map(RecordCodec::encode).toList())
				.setConfigVersion(formation.configVersion()));
		}
		else if (body instanceof GroupDissolution dissolution) {
			builder.setDissolution(org.pistachioline.protocol.records.GroupDissolution.newBuilder()
				.setGroupId(dissolution.groupId())
				.setGroupEpoch(dissolution.groupEpoch())
				.setPlannerEpoch(dissolution.plannerEpoch())
				.setReason(dissolution.reason()));
		}
		else if (body instanceof GroupDrain drain) {
			builder.setDrain(org.pistachioline.protocol.records.GroupDrain.newBuilder()
				.setGroupId(drain.groupId())
				.setGroupEpoch(drain.groupEpoch())
				.setPlannerEpoch(drain.plannerEpoch())
				.setReason(drain.reason()));
		}
		else if (body instanceof RequestQuarantine quarantine) {
			builder.setQuarantine(encode(quarantine));
		}
		else if (body instanceof RequestSuspicion suspicion) {
			builder.setSuspicion(encode(suspicion));
		}
		else if (body instanceof CheckpointPart checkpoint) {
			builder.setCheckpoint(Checkpoint.newBuilder()
				.setThroughOffset(checkpoint.throughOffset())
				.setPart(checkpoint.part())
				.setParts(checkpoint.parts())
				.setState(ByteString.copyFrom(checkpoint.stateBytes())));
		}
		else {
			encodeClaimBody(builder, body);
		}
	}

	private static void encodeClaimBody(Record.Builder builder, RecordBody body) {
		if (body instanceof KeyClaim claim) {
			builder.setKeyClaim(encode(claim));
		}
		else if (body instanceof KeyRelease release) {
			builder.setKeyRelease(encode(release));
		}
		else if (body instanceof KeyOutcome outcome) {
			builder.setKeyOutcome(encode(outcome));
		}
	}

	private static RecordBody decodeBody(Record record) {
		return switch (record.getBodyCase()) {
			case MANIFEST -> new ManifestProposal(record.getManifest().getBaseVersion(),
					ManifestCodec.decode(record.getManifest().getManifest()));
			case PLANNER_CLAIM -> new PlannerClaim(record.getPlannerClaim().getFabricDomain(),
					record.getPlannerClaim().getExpectedEpoch());
			case FORMATION -> decode(record.getFormation());
			case DISSOLUTION ->
				new GroupDissolution(record.getDissolution().getGroupId(), record.getDissolution().getGroupEpoch(),
						record.getDissolution().getPlannerEpoch(), record.getDissolution().getReason());
			case DRAIN -> new GroupDrain(record.getDrain().getGroupId(), record.getDrain().getGroupEpoch(),
					record.getDrain().getPlannerEpoch(), record.getDrain().getReason());
			case QUARANTINE -> decode(record.getQuarantine());
			case SUSPICION -> decode(record.getSuspicion());
			case CHECKPOINT ->
				new CheckpointPart(record.getCheckpoint().getThroughOffset(), record.getCheckpoint().getPart(),
						record.getCheckpoint().getParts(), record.getCheckpoint().getState().toByteArray());
			case KEY_CLAIM -> decode(record.getKeyClaim());
			case KEY_RELEASE -> decode(record.getKeyRelease());
			case KEY_OUTCOME -> decode(record.getKeyOutcome());
			case BODY_NOT_SET -> new UnknownBody();
		};
	}

	static org.pistachioline.protocol.records.Member encode(Member member) {
		return org.pistachioline.protocol.records.Member.newBuilder()
			.setInstanceId(member.instanceId())
			.setFabricDomain(member.fabricDomain())
			.setAddress(member.address())
			.setAvailabilityZone(member.availabilityZone())
			.setAccelerators(member.accelerators())
			.build();
	}

	static Member decode(org.pistachioline.protocol.records.Member member) {
		return new Member(member.getInstanceId(), member.getFabricDomain(), member.getAddress(),
				member.getAvailabilityZone(), member.getAccelerators());
	}

	private static GroupFormation decode(org.pistachioline.protocol.records.GroupFormation formation) {
		return new GroupFormation(formation.getGroupId(), formation.getModel(), formation.getPlannerEpoch(),
				formation.getMembersList().stream().map(RecordCodec::decode).toList(), formation.getConfigVersion());
	}

	static org.pistachioline.protocol.records.RequestQuarantine encode(RequestQuarantine quarantine) {
		return org.pistachioline.protocol.records.RequestQuarantine.newBuilder()
			.setFingerprint(quarantine.fingerprint())
			.setExpiresAtMillis(quarantine.expiresAtMillis())
			.setReason(quarantine.reason())
			.build();
	}

	static RequestQuarantine decode(org.pistachioline.protocol.records.RequestQuarantine quarantine) {
		return new RequestQuarantine(quarantine.getFingerprint(), quarantine.getExpiresAtMillis(),
				quarantine.getReason());
	}

	static org.pistachioline.protocol.records.RequestSuspicion encode(RequestSuspicion suspicion) {
		return org.pistachioline.protocol.records.RequestSuspicion.newBuilder()
			.setFingerprint(suspicion.fingerprint())
			.setGroupId(suspicion.groupId())
			.setGroupEpoch(suspicion.groupEpoch())
			.setExpiresAtMillis(suspicion.expiresAtMillis())
			.build();
	}

	static RequestSuspicion decode(org.pistachioline.protocol.records.RequestSuspicion suspicion) {
		return new RequestSuspicion(suspicion.getFingerprint(), suspicion.getGroupId(), suspicion.getGroupEpoch(),
				suspicion.getExpiresAtMillis());
	}

	static org.pistachioline.protocol.records.KeyClaim encode(KeyClaim claim) {
		return org.pistachioline.protocol.records.KeyClaim.newBuilder()
			.setWorkspace(claim.workspace())
			.setKey(claim.key())
			.setRequestDigest(claim.requestDigest())
			.setClaimedAtMillis(claim.claimedAtMillis())
			.setExpiresAtMillis(claim.expiresAtMillis())
			.build();
	}

	static KeyClaim decode(org.pistachioline.protocol.records.KeyClaim claim) {
		return new KeyClaim(claim.getWorkspace(), claim.getKey(), claim.getRequestDigest(), claim.getClaimedAtMillis(),
				claim.getExpiresAtMillis());
	}

	/**
	 * Encodes an outcome.
	 * @param outcome the outcome
	 * @return its protobuf form
	 */
	public static org.pistachioline.protocol.records.KeyOutcome encode(KeyOutcome outcome) {
		return org.pistachioline.protocol.records.KeyOutcome.newBuilder()
			.setWorkspace(outcome.workspace())
			.setKey(outcome.key())
			.setClaimOffset(outcome.claimOffset())
			.setStatus(outcome.status())
			.setContentType(outcome.contentType())
			.setBody(ByteString.copyFromUtf8(outcome.body()))
			.setUnknown(outcome.unknown())
			.build();
	}

	/**
	 * Decodes an outcome.
	 * @param outcome the protobuf form
	 * @return the outcome
	 */
	public static KeyOutcome decode(org.pistachioline.protocol.records.KeyOutcome outcome) {
		return new KeyOutcome(outcome.getWorkspace(), outcome.getKey(), outcome.getClaimOffset(), outcome.getStatus(),
				outcome.getContentType(), outcome.getBody().toStringUtf8(), outcome.getUnknown());
	}

	/**
	 * Encodes a release.
	 * @param release the release
	 * @return its protobuf form
	 */
	public static org.pistachioline.protocol.records.KeyRelease encode(KeyRelease release) {
		return org.pistachioline.protocol.records.KeyRelease.newBuilder()
			.setWorkspace(release.workspace())
			.setKey(release.key())
			.setClaimOffset(release.claimOffset())
			.build();
	}

	/**
	 * Decodes a release.
	 * @param release the protobuf form
	 * @return the release
	 */
	public static KeyRelease decode(org.pistachioline.protocol.records.KeyRelease release) {
		return new KeyRelease(release.getWorkspace(), release.getKey(), release.getClaimOffset());
	}

}
