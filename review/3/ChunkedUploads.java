import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload bodies of 2 MB while the operator sends SIGHUP, as after a change of the settings file. Small bookings
 * run beside. The bodies are sent in chunks of 64 bytes, or with a length if {@code TROUBLE} is 0.
 */
public final class ChunkedUploads {

	private static final int WAVES = 6;

	private static final int CLIENTS = 6;

	private static final int BODY_BYTES = 2 * 1024 * 1024;

	private static final int CHUNK_BYTES = 64;

	/** The bounds of the small deployment. */
	private static final long CONFIG_APPLY_MILLIS = 2_000;

	private static final long LOSS_SLACK_MILLIS = 200;

	/** The client's deadline and the route's timeout; what ends later is excused. */
	private static final long DEADLINE_MILLIS = 1_500;

	private static final byte[] END_OF_LINE = "\r\n".getBytes(StandardCharsets.UTF_8);

	private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.UTF_8);

	private ChunkedUploads() {
	}

	public static void main(String[] args) throws Exception {
		int result = 2;
		try (Site site = new Site(Path.of(args[0]))) {
			result = run(site, !"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private static int run(Site site, boolean trouble) throws Exception {
		site.configure(1);
		site.addDesks(3);
		site.startDaemons(4);
		if (!site.awaitServing(40)) {
			return 2;
		}
		Thread.sleep(4_000);
		final Daemon daemon = site.daemons.get(0);
		final AtomicInteger small = new AtomicInteger();
		final AtomicInteger smallServed = new AtomicInteger();
		final Thread bookings = Replica.thread(() -> {
			try (Client client = new Client(daemon.frontend)) {
				for (int i = 0; i < WAVES * 20; i++) {
					small.incrementAndGet();
					final Client.Answer answer = client.send("POST", "/book/small", "s" + i, Site.AUTH,
							"slot".getBytes(StandardCharsets.UTF_8), 1_500);
					smallServed.addAndGet((answer.status() == 200) ? 1 : 0);
					site.note("small booking s" + i + " " + answer.status());
					Thread.sleep(200);
				}
			}
		});
		final AtomicInteger broken = new AtomicInteger();
		final AtomicInteger unanswered = new AtomicInteger();
		final AtomicInteger uploads = new AtomicInteger();
		for (int wave = 0; wave < WAVES; wave++) {
			final long hupNanos = System.nanoTime();
			daemon.signal("HUP");
			site.note("SIGHUP to " + daemon.name);
			final List<Thread> threads = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				final String id = "u" + wave + "-" + i;
				threads.add(Replica.thread(() -> upload(site, daemon, id, trouble, hupNanos, uploads, unanswered, broken)));
			}
			for (final Thread thread : threads) {
				thread.join();
			}
			Thread.sleep(1_500);
		}
		bookings.join();
		site.say("uploads " + uploads.get() + ", ended by the daemon without an answer " + unanswered.get()
				+ ", of these cut after SIGHUP and over " + LOSS_SLACK_MILLIS + " ms after the last byte " + broken.get()
				+ "; small bookings served " + smallServed.get() + " of " + small.get() + "; daemon alive " + daemon.alive());
		if (uploads.get() < WAVES * CLIENTS || smallServed.get() < small.get() / 2) {
			return 2;
		}
		return (broken.get() > 0) ? 1 : 0;
	}

	private static void upload(Site site, Daemon daemon, String id, boolean chunked, long hupNanos, AtomicInteger uploads,
			AtomicInteger unanswered, AtomicInteger broken) throws IOException {
		final int colon = daemon.frontend.lastIndexOf(':');
		final byte[] piece = new byte[CHUNK_BYTES];
		Arrays.fill(piece, (byte) 'p');
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(InetAddress.getByName(daemon.frontend.substring(0, colon)),
					Integer.parseInt(daemon.frontend.substring(colon + 1))), 1_000);
			socket.setSoTimeout(8_000);
			final long sentAtNanos = System.nanoTime();
			site.note("send " + id + ", " + BODY_BYTES + " bytes " + (chunked ? "in chunks of " + CHUNK_BYTES : "with a length"));
			String ending;
			long lastByteNanos = 0;
			try {
				final OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 16_384);
				out.write(("POST /book/upload HTTP/1.1\r\nHost: shop.example\r\nPistachioline-Attempt-Id: " + id
						+ "\r\nPistachioline-Deadline-Ms: 1500\r\n" + Site.AUTH
						+ (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + BODY_BYTES) + "\r\n\r\n")
					.getBytes(StandardCharsets.UTF_8));
				final byte[] size = (Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes(StandardCharsets.UTF_8);
				for (int sent = 0; sent < BODY_BYTES; sent += CHUNK_BYTES) {
					out.write(size, 0, chunked ? size.length : 0);
					out.write(piece);
					out.write(END_OF_LINE, 0, chunked ? END_OF_LINE.length : 0);
				}
				out.write(LAST_CHUNK, 0, chunked ? LAST_CHUNK.length : 0);
				out.flush();
				lastByteNanos = System.nanoTime();
				final Http.Head answer = Http.head(socket.getInputStream());
				ending = (answer != null) ? "answer " + answer.status() : "closed without an answer";
			}
			catch (IOException ex) {
				ending = "ended with " + ex.getMessage();
			}
			final long endedNanos = System.nanoTime();
			final long afterLastByte = (lastByteNanos != 0) ? (endedNanos - lastByteNanos) / 1_000_000 : -1;
			final boolean lost = !ending.startsWith("answer") && !ending.contains("timed out");
			final boolean planned = (sentAtNanos - hupNanos) / 1_000_000 <= CONFIG_APPLY_MILLIS;
			final long heldMillis = (endedNanos - sentAtNanos) / 1_000_000;
			final boolean counts = lost && planned && afterLastByte > LOSS_SLACK_MILLIS && heldMillis < DEADLINE_MILLIS;
			uploads.incrementAndGet();
			unanswered.addAndGet(lost ? 1 : 0);
			broken.addAndGet(counts ? 1 : 0);
			site.note("upload " + id + " " + ending + ", " + afterLastByte + " ms after the last byte, " + heldMillis + " ms after it was sent" + (counts ? ", LOST" : ""));
		}
	}

}
