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
 * Turns claims into frames between daemons and back.
 */
final class ClaimFrames {

	private ClaimFrames() {
	}

	static PeerFrame claimRequest(long askId, String askerId, String askerWriter, RequestInfo info) {
		return PeerFrame.newBuilder()
			.setClaimQuestion(ClaimQuestion.newBuilder()
				.setAskId(askId)
				.setAskerId(askerId)
				.setAskerWriter(askerWriter)
				.setWorkspace(info.workspace())
				.setKeySha256(info.claim().keyHash())
				.setRequestDigest(info.claim().requestDigest())
				.setLifetimeMillis(info.claim().lifetimeMillis())
				.setRunBoundMillis(info.claim().runBoundMillis()))
			.build();
	}

	static RequestInfo infoOf(ClaimQuestion question) {
		return RequestInfo.forClaim(question.getWorkspace(), new ClaimRequirement(question.getKeySha256(),
				question.getRequestDigest(), question.getLifetimeMillis(), question.getRunBoundMillis()));
	}

	static PeerFrame claimResponse(long askId, ClaimResult result) {
		final ClaimAnswer.Builder answer = ClaimAnswer.newBuilder()
			.setAskId(askId)
			.setVerdict(result.verdict().name())
			.setClaimOffset(result.claimOffset());
		result.outcome().ifPresent((outcome) -> answer.setOutcome(RecordCodec.encode(outcome)));
		return PeerFrame.newBuilder().setClaimAnswer(answer).build();
	}

	/**
	 * Reads an answer; a verdict that this release does not know reads as limbo, which
	 * promises nothing.
	 * @param answer the answer
	 * @return the result
	 */
	static ClaimResult resultOf(ClaimAnswer answer) {
		ClaimVerdict verdict = ClaimVerdict.LIMBO;
		for (final ClaimVerdict known : ClaimVerdict.values()) {
			if (known.name().equals(answer.getVerdict())) {
				verdict = known;
			}
		}
		return new ClaimResult(verdict, answer.getClaimOffset(),
				answer.hasOutcome() ? Optional.of(RecordCodec.decode(answer.getOutcome())) : Optional.empty());
	}

	static PeerFrame update(long noteId, String senderId, ClaimForwarder.Message.Update note) {
		final ClaimNote.Builder frame = ClaimNote.newBuilder().setNoteId(noteId).setSenderId(senderId);
		if (note.release() != null) {
			frame.setRelease(RecordCodec.encode(note.release()));
		}
		else {
			frame.setOutcome(RecordCodec.encode(note.outcome()));
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

	static PeerFrame acknowledgement(long noteId) {
		return PeerFrame.newBuilder().setClaimReceipt(ClaimReceipt.newBuilder().setNoteId(noteId)).build();
	}

}
