import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {

	/** The first line and the header lines of a message. */
	record Head(String first, List<String> lines) {

		String header(String name) {
			for (final String line : this.lines) {
				final int colon = line.indexOf(':');
				if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
					return line.substring(colon + 1).trim();
				}
			}
			return null;
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

	}

	private Http() {
	}

	/** Returns null where the connection ends before a first byte. */
	static Head head(InputStream in) throws IOException {
		String first = line(in);
		while (first != null && first.isEmpty()) {
			first = line(in);
		}
		if (first == null) {
			return null;
		}
		final List<String> lines = new ArrayList<>();
		while (true) {
			final String line = line(in);
			if (line == null) {
				throw new EOFException("in a head");
			}
			if (line.isEmpty()) {
				return new Head(first, lines);
			}
			lines.add(line);
		}
	}

	private static String line(InputStream in) throws IOException {
		final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		while (true) {
			final int next = in.read();
			if (next < 0) {
				if (bytes.size() == 0) {
					return null;
				}
				throw new EOFException("in a line");
			}
			if (next == '\n') {
				final String text = bytes.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			bytes.write(next);
		}
	}

	static byte[] body(Head head, InputStream in) throws IOException {
		if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
			final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			while (true) {
				final String size = line(in);
				if (size == null) {
					throw new EOFException("in a chunked body");
				}
				final int length = Integer.parseInt(size.split(";")[0].trim(), 16);
				if (length == 0) {
					line(in);
					return bytes.toByteArray();
				}
				bytes.writeBytes(exactly(in, length));
				line(in);
			}
		}
		final String length = head.header("Content-Length");
		return (length != null) ? exactly(in, Integer.parseInt(length)) : new byte[0];
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		final byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("in a body");
		}
		return bytes;
	}

}
