package org.pistachioline.daemon.fleet;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.presence.GroupDigest;
import org.pistachioline.core.presence.PresenceNode;
import org.pistachioline.core.presence.PresenceQuestion;
import org.pistachioline.daemon.peer.PeerDuty;
import org.pistachioline.protocol.peer.PeerFrame;
import org.pistachioline.protocol.peer.PresenceAnswer;

/**
 * Carries questions about presence and their answers between daemons.
 */
public final class PresenceTransport {

	private final String selfId;

	private final PeerDuty peers;

	/**
	 * Creates the links.
	 * @param selfId this daemon's name
	 * @param peers the links between daemons
	 */
	public PresenceTransport(String selfId, PeerDuty peers) {
		this.selfId = selfId;
		this.peers = peers;
	}

	String selfId() {
		return this.selfId;
	}

	Map<String, String> zonesByDaemon() {
		final Map<String, String> zones = new TreeMap<>();
		for (final PeerStatus daemon : this.peers.daemons()) {
			if (!daemon.leaving() || daemon.daemonId().equals(this.selfId)) {
				zones.put(daemon.daemonId(), daemon.availabilityZone());
			}
		}
		return zones;
	}

	void onFrame(Consumer<PeerFrame> receiver) {
		this.peers.onPresenceFrame(receiver);
	}

	void send(PresenceQuestion question) {
		this.peers.send(question.daemonId(), frameOf(this.selfId, question));
	}

	/**
	 * Makes the frame of a question.
	 * @param askerId who asks
	 * @param question the question
	 * @return the frame
	 */
	public static PeerFrame frameOf(String askerId, PresenceQuestion question) {
		return PeerFrame.newBuilder()
			.setPresenceQuestion(org.pistachioline.protocol.peer.PresenceQuestion.newBuilder()
				.setAskerId(askerId)
				.setToken(question.token())
				.addAllEpochs(question.epochs()))
			.build();
	}

	/**
	 * Makes the frame of an answer.
	 * @param answererId who answers
	 * @param token the question's token
	 * @param digests what is known
	 * @return the frame
	 */
	public static PeerFrame frameOf(String answererId, long token, List<GroupDigest> digests) {
		final PresenceAnswer.Builder answer = PresenceAnswer.newBuilder().setAnswererId(answererId).setToken(token);
		digests.forEach((digest) -> answer.addGroups(encode(digest)));
		return PeerFrame.newBuilder().setPresenceAnswer(answer).build();
	}

	void handle(PeerFrame frame, PresenceNode presence, long nowNanos) {
		if (frame.hasPresenceQuestion()) {
			answer(frame.getPresenceQuestion(), presence, nowNanos);
		}
		else if (frame.hasPresenceAnswer()) {
			final PresenceAnswer answer = frame.getPresenceAnswer();
			presence.onAnswer(answer.getAnswererId(), answer.getToken(),
					answer.getGroupsList().stream().map(PresenceTransport::decode).toList());
		}
	}

	private void answer(org.pistachioline.protocol.peer.PresenceQuestion question, PresenceNode presence,
			long nowNanos) {
		this.peers.send(question.getAskerId(),
				frameOf(this.selfId, question.getToken(), presence.answer(question.getEpochsList(), nowNanos)));
	}

	private static org.pistachioline.protocol.peer.GroupDigest encode(GroupDigest digest) {
		return org.pistachioline.protocol.peer.GroupDigest.newBuilder()
			.setEpoch(digest.epoch())
			.setProvenAgeMillis(digest.provenAgeMillis())
			.setDeniedAgeMillis(digest.deniedAgeMillis())
			.setRoundAgeMillis(digest.roundAgeMillis())
			.addAllMissingRanks(digest.missingRanks())
			.setRunningRequests(digest.running())
			.setWaitingRequests(digest.waiting())
			.setLoadAgeMillis(digest.loadAgeMillis())
			.build();
	}

	private static GroupDigest decode(org.pistachioline.protocol.peer.GroupDigest digest) {
		return new GroupDigest(digest.getEpoch(), digest.getProvenAgeMillis(), digest.getDeniedAgeMillis(),
				digest.getRoundAgeMillis(), digest.getMissingRanksList(), digest.getRunningRequests(),
				digest.getWaitingRequests(), digest.getLoadAgeMillis());
	}

}
