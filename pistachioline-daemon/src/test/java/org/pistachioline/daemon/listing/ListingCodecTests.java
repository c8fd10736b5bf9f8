package org.pistachioline.daemon.listing;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.pistachioline.core.listing.InstanceRecord;
import org.pistachioline.core.listing.ListingDelta;
import org.pistachioline.core.listing.ListingRequest;
import org.pistachioline.core.listing.ListingResponse;
import org.pistachioline.core.replica.GroupId;
import org.pistachioline.core.replica.MemberState;
import org.pistachioline.core.replica.Membership;
import org.pistachioline.core.replica.ServingInstance;

import static org.assertj.core.api.Assertions.assertThat;

class ListingCodecTests {

	@Test
	void aRequestSurvivesEncodingAndDecoding() {
		final ListingRequest request = new ListingRequest("daemon-1", 7, 1_234);
		assertThat(ListingCodec.decode(ListingCodec.encode(request).getListingQuestion())).isEqualTo(request);
	}

	@ParameterizedTest
	@EnumSource(MemberState.class)
	void aResponseSurvivesEncodingAndDecoding(MemberState state) {
		final ServingInstance grouped = new ServingInstance("i-1~z", "pool", "10.0.0.1:80", "zone-a", "domain-1", false,
				12, Set.of("large", "small"), Optional.of(new Membership(new GroupId("large.1z", 5L << 20), 3, state)));
		final ServingInstance ungrouped = new ServingInstance("i-2", "desk", "10.0.0.2:80", "zone-b", "", true, 6,
				Set.of(), Optional.empty(), 2_500);
		final ListingResponse response = new ListingResponse("daemon-2", 7, 3_000_000, 250_000_000,
				Optional.of(new ListingDelta(100, 110, 105,
						List.of(new InstanceRecord.Listed("i-1", 101, 1_700_000_000_000L, grouped),
								new InstanceRecord.Listed("i-2", 102, 0, ungrouped),
								new InstanceRecord.Tombstone("i-3", 103)))));
		assertThat(ListingCodec.decode(ListingCodec.encode(response).getListingAnswer())).isEqualTo(response);
	}

	/**
	 * Guards against a peer that takes an instance for gone although its entry expired
	 * only because the platform's store was unavailable.
	 */
	@Test
	void unconfirmedRemovalsAreEncodedNextToTombstones() {
		final ListingResponse response = new ListingResponse("daemon-2", 7, 0, 0, Optional
			.of(new ListingDelta(100, 110, 0, List.of(new InstanceRecord.Tombstone("i-3", 103)), Set.of("i-3"))));
		assertThat(ListingCodec.decode(ListingCodec.encode(response).getListingAnswer())).isEqualTo(response);
	}

	@Test
	void continuationOffsetsSurviveEncodingAndDecoding() {
		final ListingResponse response = new ListingResponse("daemon-2", 7, 0, 0,
				Optional.of(new ListingDelta(100, 110, 105, List.of(new InstanceRecord.Tombstone("i-3", 103)))), 104,
				-7);
		assertThat(ListingCodec.encode(response).getListingAnswer().getComplete()).isFalse();
		assertThat(ListingCodec.decode(ListingCodec.encode(response).getListingAnswer())).isEqualTo(response);
		final ListingRequest request = new ListingRequest("daemon-1", 8, 100, 104);
		assertThat(ListingCodec.decode(ListingCodec.encode(request).getListingQuestion())).isEqualTo(request);
	}

	@Test
	void aResponseWithoutADeltaSurvivesEncodingAndDecoding() {
		final ListingResponse response = new ListingResponse("daemon-2", 7, 0, 0, Optional.empty());
		assertThat(ListingCodec.decode(ListingCodec.encode(response).getListingAnswer())).isEqualTo(response);
	}

}
