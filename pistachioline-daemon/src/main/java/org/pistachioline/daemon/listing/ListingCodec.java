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
 * Turns what daemons tell each other of the list into protobuf and back.
 */
final class ListingCodec {

	private static final Map<MemberState, MembershipState> STATES = new EnumMap<>(Map.of(MemberState.JOINING,
			MembershipState.JOINING, MemberState.READY, MembershipState.READY, MemberState.OPEN, MembershipState.OPEN,
			MemberState.CLOSING, MembershipState.CLOSING, MemberState.BROKEN, MembershipState.BROKEN));

	private ListingCodec() {
	}

	static PeerFrame encode(ListingRequest question) {
		return PeerFrame.newBuilder()
			.setListingQuestion(org.pistachioline.protocol.peer.ListingQuestion.newBuilder()
				.setAskerId(question.requesterId())
				.setToken(question.correlationId())
				.setFromOffset(question.fromOffset())
				.setRestOffset(question.continuationOffset()))
			.build();
	}

	static ListingRequest decode(org.pistachioline.protocol.peer.ListingQuestion question) {
		return new ListingRequest(question.getAskerId(), question.getToken(), question.getFromOffset(),
				question.getRestOffset());
	}

	static PeerFrame encode(ListingResponse answer) {
		final org.pistachioline.protocol.peer.ListingAnswer.Builder built = org.pistachioline.protocol.peer.ListingAnswer
			.newBuilder()
			.setAnswererId(answer.responderId())
			.setToken(answer.correlationId())
			.setHeldMillis(TimeUnit.NANOSECONDS.toMillis(answer.heldNanos()))
			.setAgeMillis(TimeUnit.NANOSECONDS.toMillis(answer.ageNanos()))
			.setComplete(answer.delta().isPresent() && answer.continuationOffset() == 0)
			.setRestOffset(answer.continuationOffset())
			.setLifeId(answer.incarnationId());
		answer.delta().ifPresent((change) -> {
			built.setFromOffset(change.fromOffset())
				.setNextOffset(change.nextOffset())
				.setGapEnd(change.gapEndOffset());
			change.records().forEach((each) -> add(built, each));
			built.addAllDoubtedKeys(change.unconfirmedKeys());
		});
		return PeerFrame.newBuilder().setListingAnswer(built).build();
	}

	private static void add(org.pistachioline.protocol.peer.ListingAnswer.Builder answer, InstanceRecord found) {
		if (found instanceof InstanceRecord.Listed entry) {
			answer.addListed(encode(entry));
		}
		else if (found instanceof InstanceRecord.Tombstone gone) {
			answer.addDropped(DroppedInstance.newBuilder().setKey(gone.key()).setOffset(gone.offset()));
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
			.addAllStagedModels(instance.stagedModels());
		instance.membership()
			.ifPresent((own) -> built.setMembership(GroupMembership.newBuilder()
				.setGroupName(own.group().name())
				.setEpoch(own.group().epoch())
				.setRank(own.rank())
				.setState(STATES.get(own.state()))));
		return built.build();
	}

	static ListingResponse decode(org.pistachioline.protocol.peer.ListingAnswer answer) {
		return new ListingResponse(answer.getAnswererId(), answer.getToken(),
				TimeUnit.MILLISECONDS.toNanos(answer.getHeldMillis()),
				TimeUnit.MILLISECONDS.toNanos(answer.getAgeMillis()),
				(answer.getComplete() || answer.getRestOffset() > 0) ? Optional.of(decodeDelta(answer))
						: Optional.empty(),
				answer.getRestOffset(), answer.getLifeId());
	}

	private static ListingDelta decodeDelta(org.pistachioline.protocol.peer.ListingAnswer answer) {
		final List<InstanceRecord> records = new ArrayList<>();
		answer.getListedList().forEach((entry) -> records.add(decode(entry)));
		answer.getDroppedList()
			.forEach((gone) -> records.add(new InstanceRecord.Tombstone(gone.getKey(), gone.getOffset())));
		return new ListingDelta(answer.getFromOffset(), answer.getNextOffset(), answer.getGapEnd(), records,
				new HashSet<>(answer.getDoubtedKeysList()));
	}

	private static InstanceRecord.Listed decode(ListedInstance entry) {
		return new InstanceRecord.Listed(entry.getKey(), entry.getOffset(), entry.getBornMillis(),
				new ServingInstance(entry.getInstanceId(), entry.getService(), entry.getAddress(),
						entry.getAvailabilityZone(), entry.getFabricDomain(), entry.getDraining(), entry.getSlots(),
						new HashSet<>(entry.getStagedModelsList()),
						entry.hasMembership() ? Optional.of(decode(entry.getMembership())) : Optional.empty()));
	}

	private static Membership decode(GroupMembership own) {
		return new Membership(new GroupId(own.getGroupName(), own.getEpoch()), own.getRank(), decode(own.getState()));
	}

	// A state that a newer release added is one in which the instance takes no requests.
	private static MemberState decode(MembershipState state) {
		return STATES.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() == state)
			.map(Map.Entry::getKey)
			.findFirst()
			.orElse(MemberState.BROKEN);
	}

}
