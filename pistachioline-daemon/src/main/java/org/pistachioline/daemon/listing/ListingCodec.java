package org.pistachioline.daemon.listing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.pistachioline.core.listing.InstanceRecord;
import org.pistachioline.core.listing.ListingDelta;
import org.pistachioline.core.listing.ListingRequest;
import org.pistachioline.core.listing.ListingResponse;
import org.pistachioline.core.replica.GroupId;
import org.pistachioline.core.replica.MemberState;
import org.pistachioline.core.replica.Membership;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.protocol.peer.DroppedInstance;
import org.pistachioline.protocol.peer.GroupMembership;
import org.pistachioline.protocol.peer.ListedInstance;
import org.pistachioline.protocol.peer.MembershipState;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Encodes and decodes the messages by which daemons exchange the instance list, as
 * protobuf peer frames.
 */
final class ListingCodec {

	private static final Map<MemberState, MembershipState> STATES = new EnumMap<>(Map.of(MemberState.JOINING,
			MembershipState.JOINING, MemberState.READY, MembershipState.READY, MemberState.OPEN, MembershipState.OPEN,
			MemberState.CLOSING, MembershipState.CLOSING, MemberState.BROKEN, MembershipState.BROKEN));

	private ListingCodec() {
	}

	static PeerFrame encode(ListingRequest request) {
		return PeerFrame.newBuilder()
			.setListingQuestion(org.pistachioline.protocol.peer.ListingQuestion.newBuilder()
				.setAskerId(request.requesterId())
				.setToken(request.correlationId())
				.setFromOffset(request.fromOffset())
				.setRestOffset(request.continuationOffset()))
			.build();
	}

	static ListingRequest decode(org.pistachioline.protocol.peer.ListingQuestion request) {
		return new ListingRequest(request.getAskerId(), request.getToken(), request.getFromOffset(),
				request.getRestOffset());
	}

	static PeerFrame encode(ListingResponse response) {
		final org.pistachioline.protocol.peer.ListingAnswer.Builder built = org.pistachioline.protocol.peer.ListingAnswer
			.newBuilder()
			.setAnswererId(response.responderId())
			.setToken(response.correlationId())
			.setHeldMillis(TimeUnit.NANOSECONDS.toMillis(response.heldNanos()))
			.setAgeMillis(TimeUnit.NANOSECONDS.toMillis(response.ageNanos()))
			.setComplete(response.delta().isPresent() && response.continuationOffset() == 0)
			.setRestOffset(response.continuationOffset())
			.setLifeId(response.incarnationId());
		response.delta().ifPresent((delta) -> {
			built.setFromOffset(delta.fromOffset()).setNextOffset(delta.nextOffset()).setGapEnd(delta.gapEndOffset());
			delta.records().forEach((each) -> add(built, each));
			built.addAllDoubtedKeys(delta.unconfirmedKeys());
		});
		return PeerFrame.newBuilder().setListingAnswer(built).build();
	}

	private static void add(org.pistachioline.protocol.peer.ListingAnswer.Builder response, InstanceRecord listRecord) {
		if (listRecord instanceof InstanceRecord.Listed entry) {
			response.addListed(encode(entry));
		}
		else if (listRecord instanceof InstanceRecord.Tombstone tombstone) {
			response.addDropped(DroppedInstance.newBuilder().setKey(tombstone.key()).setOffset(tombstone.offset()));
		}
	}

	private static ListedInstance encode(InstanceRecord.Listed entry) {
		final ServingInstance instance = entry.instance();
		final ListedInstance.Builder built = ListedInstance.newBuilder()
			.setKey(entry.key())
			.setOffset(entry.offset())
			.setBornMillis(entry.startedAtMillis())
			.setInstanceId(instance.id())
			.setService(instance.service())
			.setAddress(instance.address())
			.setAvailabilityZone(instance.availabilityZone())
			.setFabricDomain(instance.fabricDomain())
			.setDraining(instance.draining())
			.setSlots(instance.slots())
			.setColdRemainingMillis(instance.coldRemainingMillis())
			.addAllStagedModels(instance.stagedModels());
		instance.membership()
			.ifPresent((membership) -> built.setMembership(GroupMembership.newBuilder()
				.setGroupName(membership.group().name())
				.setEpoch(membership.group().epoch())
				.setRank(membership.rank())
				.setState(STATES.get(membership.state()))));
		return built.build();
	}

	static ListingResponse decode(org.pistachioline.protocol.peer.ListingAnswer response) {
		return new ListingResponse(response.getAnswererId(), response.getToken(),
				TimeUnit.MILLISECONDS.toNanos(response.getHeldMillis()),
				TimeUnit.MILLISECONDS.toNanos(response.getAgeMillis()),
				(response.getComplete() || response.getRestOffset() > 0) ? Optional.of(decodeDelta(response))
						: Optional.empty(),
				response.getRestOffset(), response.getLifeId());
	}

	private static ListingDelta decodeDelta(org.pistachioline.protocol.peer.ListingAnswer response) {
		final List<InstanceRecord> records = new ArrayList<>();
		response.getListedList().forEach((entry) -> records.add(decode(entry)));
		response.getDroppedList()
			.forEach((tombstone) -> records
				.add(new InstanceRecord.Tombstone(tombstone.getKey(), tombstone.getOffset())));
		return new ListingDelta(response.getFromOffset(), response.getNextOffset(), response.getGapEnd(), records,
				new HashSet<>(response.getDoubtedKeysList()));
	}

	private static InstanceRecord.Listed decode(ListedInstance entry) {
		return new InstanceRecord.Listed(entry.getKey(), entry.getOffset(), entry.getBornMillis(),
				new ServingInstance(entry.getInstanceId(), entry.getService(), entry.getAddress(),
						entry.getAvailabilityZone(), entry.getFabricDomain(), entry.getDraining(), entry.getSlots(),
						new HashSet<>(entry.getStagedModelsList()),
						entry.hasMembership() ? Optional.of(decode(entry.getMembership())) : Optional.empty(),
						Math.max(0, entry.getColdRemainingMillis())));
	}

	private static Membership decode(GroupMembership membership) {
		return new Membership(new GroupId(membership.getGroupName(), membership.getEpoch()), membership.getRank(),
				decode(membership.getState()));
	}

	// A state that a newer release has added is decoded as one in which the instance
	// takes no requests.
	private static MemberState decode(MembershipState state) {
		return STATES.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() == state)
			.map(Map.Entry::getKey)
			.findFirst()
			.orElse(MemberState.BROKEN);
	}

}
