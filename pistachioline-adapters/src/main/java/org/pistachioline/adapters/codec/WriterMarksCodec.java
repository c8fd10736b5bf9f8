package org.pistachioline.adapters.codec;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.pcollections.HashTreePMap;

import org.pistachioline.core.state.WriterMark;
import org.pistachioline.core.state.WriterMarks;

/**
 * Carries writers' marks in checkpoints, without which a late repeat would be applied
 * again by those who loaded one.
 */
final class WriterMarksCodec {

	private WriterMarksCodec() {
	}

	static List<org.pistachioline.protocol.records.WriterMark> encode(WriterMarks writers) {
		final List<org.pistachioline.protocol.records.WriterMark> messages = new ArrayList<>();
		writers.marks()
			.forEach((writer,
					mark) -> messages.add(org.pistachioline.protocol.records.WriterMark.newBuilder()
						.setWriter(writer)
						.setSequence(mark.sequence())
						.setOffset(mark.offset())
						.build()));
		return messages;
	}

	static WriterMarks decode(List<org.pistachioline.protocol.records.WriterMark> messages) {
		final Map<String, WriterMark> marks = new HashMap<>();
		messages.forEach((message) -> marks.put(message.getWriter(),
				new WriterMark(message.getSequence(), message.getOffset())));
		return new WriterMarks(HashTreePMap.from(marks));
	}

}
