package org.pistachioline.daemon.claims;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.record.KeyRelease;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.ClaimVerdict;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.protocol.peer.ClaimAnswer;
import org.pistachioline.protocol.peer.ClaimNote;
import org.pistachioline.protocol.peer.ClaimQuestion;
import org.pistachioline.protocol.peer.ClaimReceipt;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Encodes and decodes the frames with which daemons forward claims, releases and
 * outcomes. The frames' own names differ: a {@code ClaimQuestion} is a request, a
 * {@code ClaimAnswer} its response, a {@code ClaimNote} an update and a
 * {@code ClaimReceipt} its acknowledgement.
 */
final class ClaimFrames {

	private ClaimFrames() {
	}

	static PeerFrame claimRequest(long requestId, String requesterId, String requesterWriter, RequestInfo info) {
		return PeerFrame.newBuilder()
			.setClaimQuestion(ClaimQuestion.newBuilder()
				.setAskId(requestId)
				.setAskerId(requesterId)
				.setAskerWriter(requesterWriter)
				.setWorkspace(info.workspace())
				.setKeySha256(info.claim().keyHash())
				.setRequestDigest(info.claim().requestDigest())
				.setLifetimeMillis(info.claim().lifetimeMillis())
				.setRunBoundMillis(info.claim().runBoundMillis()))
			.build();
	}

	static RequestInfo infoOf(ClaimQuestion request) {
		return RequestInfo.forClaim(request.getWorkspace(), new ClaimRequirement(request.getKeySha256(),
				request.getRequestDigest(), request.getLifetimeMillis(), request.getRunBoundMillis()));
	}

	static PeerFrame claimResponse(long requestId, ClaimResult result) {
		final ClaimAnswer.Builder response = ClaimAnswer.newBuilder()
			.setAskId(requestId)
			.setVerdict(result.verdict().name())
			.setClaimOffset(result.claimOffset());
		result.outcome().ifPresent((outcome) -> response.setOutcome(RecordCodec.encode(outcome)));
		return PeerFrame.newBuilder().setClaimAnswer(response).build();
	}

	/**
	 * Decodes a response. A verdict that this release does not know is read as limbo,
	 * which makes no promise to the caller.
	 * @param response the response
	 * @return the result of the claim
	 */
	static ClaimResult resultOf(ClaimAnswer response) {
		ClaimVerdict verdict = ClaimVerdict.LIMBO;
		for (final ClaimVerdict known : ClaimVerdict.values()) {
			if (known.name().equals(response.getVerdict())) {
				verdict = known;
			}
		}
		return new ClaimResult(verdict, response.getClaimOffset(),
				response.hasOutcome() ? Optional.of(RecordCodec.decode(response.getOutcome())) : Optional.empty());
	}

	static PeerFrame update(long updateId, String senderId, ClaimForwarder.Message.Update update) {
		final ClaimNote.Builder frame = ClaimNote.newBuilder().setNoteId(updateId).setSenderId(senderId);
		if (update.release() != null) {
			frame.setRelease(RecordCodec.encode(update.release()));
		}
		else {
			frame.setOutcome(RecordCodec.encode(update.outcome()));
		}
		return PeerFrame.newBuilder().setClaimNote(frame).build();
	}

	static ClaimForwarder.Message.Update updateOf(ClaimNote frame) {
		final CompletableFuture<Void> done = new CompletableFuture<>();
		if (frame.hasRelease()) {
			final KeyRelease release = RecordCodec.decode(frame.getRelease());
			return new ClaimForwarder.Message.Update(infoOf(release.workspace(), release.key()), release, null, done);
		}
		final KeyOutcome outcome = RecordCodec.decode(frame.getOutcome());
		return new ClaimForwarder.Message.Update(infoOf(outcome.workspace(), outcome.key()), null, outcome, done);
	}

	private static RequestInfo infoOf(String workspace, String keyHash) {
		return RequestInfo.forClaim(workspace, new ClaimRequirement(keyHash, "", 0));
	}

	static PeerFrame acknowledgement(long updateId) {
		return PeerFrame.newBuilder().setClaimReceipt(ClaimReceipt.newBuilder().setNoteId(updateId)).build();
	}

}
