package org.pistachioline.daemon.fleet;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.presence.GroupDigest;
import org.pistachioline.core.presence.PresenceNode;
import org.pistachioline.core.presence.PresenceRequest;
import org.pistachioline.daemon.peer.PeerDuty;
import org.pistachioline.protocol.peer.PeerFrame;
import org.pistachioline.protocol.peer.PresenceAnswer;

/**
 * Sends presence requests and responses to other daemons and handles the received ones.
 */
public final class PresenceTransport {

	private final String selfId;

	private final PeerDuty peers;

	/**
	 * Creates a transport over the links between daemons.
	 * @param selfId the id of this daemon
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
		for (final PeerStatus daemon : this.peers.liveDaemons()) {
			if (!daemon.leaving() || daemon.daemonId().equals(this.selfId)) {
				zones.put(daemon.daemonId(), daemon.availabilityZone());
			}
		}
		return zones;
	}

	void onFrame(Consumer<PeerFrame> receiver) {
		this.peers.setPresenceReceiver(receiver);
	}

	void send(PresenceRequest request) {
		this.peers.send(request.daemonId(), frameOf(this.selfId, request));
	}

	/**
	 * Encodes a presence request.
	 * @param requesterId the id of the requesting daemon
	 * @param request the request
	 * @return the frame
	 */
	public static PeerFrame frameOf(String requesterId, PresenceRequest request) {
		return PeerFrame.newBuilder()
			.setPresenceQuestion(org.pistachioline.protocol.peer.PresenceQuestion.newBuilder()
				.setAskerId(requesterId)
				.setToken(request.correlationId())
				.addAllEpochs(request.epochs()))
			.build();
	}

	/**
	 * Encodes a response to a presence request.
	 * @param responderId the id of the responding daemon
	 * @param token the correlation token of the request
	 * @param digests what the responder knows of the requested groups
	 * @return the frame
	 */
	public static PeerFrame frameOf(String responderId, long token, List<GroupDigest> digests) {
		final PresenceAnswer.Builder response = PresenceAnswer.newBuilder().setAnswererId(responderId).setToken(token);
		digests.forEach((digest) -> response.addGroups(encode(digest)));
		return PeerFrame.newBuilder().setPresenceAnswer(response).build();
	}

	void handle(PeerFrame frame, PresenceNode presence, long nowNanos) {
		if (frame.hasPresenceQuestion()) {
			respond(frame.getPresenceQuestion(), presence, nowNanos);
		}
		else if (frame.hasPresenceAnswer()) {
			final PresenceAnswer response = frame.getPresenceAnswer();
			presence.onResponse(response.getAnswererId(), response.getToken(),
					response.getGroupsList().stream().map(PresenceTransport::decode).toList());
		}
	}

	private void respond(org.pistachioline.protocol.peer.PresenceQuestion request, PresenceNode presence,
			long nowNanos) {
		this.peers.send(request.getAskerId(),
				frameOf(this.selfId, request.getToken(), presence.respond(request.getEpochsList(), nowNanos)));
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
