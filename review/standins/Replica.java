import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** A replica: sound, unless a case sets a behaviour of its own. It writes its entry at each heartbeat. */
class Replica {

	/** Handles a request instead of the sound behaviour. */
	interface Behaviour {

		/** Returns whether it has handled the request. */
		boolean handle(Replica replica, Http.Head head, byte[] body, InputStream in, OutputStream out, Socket socket)
				throws IOException, InterruptedException;

	}

	static final int HEARTBEAT_MILLIS = 1_200;

	final String id;

	final String service;

	final String domain;

	final int slots;

	private final Store store;

	private final ServerSocket server = new ServerSocket();

	private final Consumer<String> record;

	final AtomicInteger active = new AtomicInteger();

	volatile Behaviour behaviour;

	volatile int workMillis = 21;

	volatile int events = 34;

	volatile int eventMillis = 40;

	private long sequence = 1;

	private String staged = "";

	private String group = "";

	private String state = "";

	private String model = "";

	private String lastModel = "";

	private long epoch;

	private long highestEpoch;

	private long fence;

	private int rank;

	Replica(Store store, String id, String service, String domain, int slots, Consumer<String> record)
			throws IOException {
		this.store = store;
		this.id = id;
		this.service = service;
		this.domain = domain;
		this.slots = slots;
		this.record = record;
		this.server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
		thread(this::accept);
		writeEntry();
		thread(() -> {
			while (true) {
				Thread.sleep(HEARTBEAT_MILLIS);
				writeEntry();
			}
		});
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	interface Step {

		void run() throws Exception;

	}

	static Thread thread(Step step) {
		final Thread thread = new Thread(() -> {
			try {
				step.run();
			}
			catch (Exception ex) {
				// A connection that breaks ends its thread.
			}
		});
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private void accept() throws IOException {
		while (true) {
			final Socket socket = this.server.accept();
			thread(() -> serve(socket));
		}
	}

	private synchronized void writeEntry() {
		this.sequence++;
		final String groupField = this.group.isEmpty() ? "" : ",\"group\":" + groupJson();
		this.store.put("keyed.servers", this.id,
				"{\"Service\":\"" + this.service + "\",\"Address\":\"" + address() + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":"
						+ this.slots + ",\"State\":\"ready\",\"ColdRemainingMs\":0"
						+ (this.domain.isEmpty() ? "" : ",\"Domain\":\"" + this.domain + "\",\"Staged\":"
								+ (this.staged.isEmpty() ? "[]" : "[\"" + this.staged + "\"]"))
						+ groupField + ",\"Sequence\":" + this.sequence + "}");
	}

	private String groupJson() {
		return "{\"Name\":\"" + this.group + "\",\"epoch\":" + this.epoch + ",\"rank\":" + this.rank + ",\"State\":\""
				+ this.state + "\"}";
	}

	private void serve(Socket socket) throws Exception {
		try (socket) {
			socket.setTcpNoDelay(true);
			final InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
			final OutputStream out = socket.getOutputStream();
			while (true) {
				final Http.Head head = Http.head(in);
				if (head == null) {
					return;
				}
				final byte[] body = Http.body(head, in);
				final String path = head.first().split(" ")[1];
				final String wanted = head.header("Pistachioline-Target-Instance");
				if (wanted != null && !wanted.equals(this.id)) {
					answer(out, "421 Misdirected Request", "Pistachioline-Instance-Id: " + this.id + "\r\n", new byte[0]);
				}
				else if (path.equals("/pistachioline/report")) {
					answer(out, "200 OK", "Content-Type: application/json\r\n", report().getBytes(StandardCharsets.UTF_8));
				}
				else if (path.equals("/pistachioline/order")) {
					final int status = order(new String(body, StandardCharsets.UTF_8));
					answer(out, status + " Order", "", new byte[0]);
				}
				else {
					run(head, body, in, out, socket);
				}
			}
		}
	}

	private synchronized String report() {
		return "{\"Phase\":\"mixed\",\"Models\":[],\"Busy\":false,\"Sequence\":" + this.sequence + ",\"Queued\":0,\"Active\":"
				+ this.active.get() + ",\"KvUsed\":0,\"KvTotal\":90000,\"KvHandles\":0"
				+ (this.group.isEmpty() ? "" : ",\"group\":" + groupJson()) + "}";
	}

	private void run(Http.Head head, byte[] body, InputStream in, OutputStream out, Socket socket)
			throws IOException, InterruptedException {
		final String attempt = head.header("Pistachioline-Attempt-Id");
		if (!this.domain.isEmpty() && !isOpen()) {
			answer(out, "421 Misdirected Request", "Pistachioline-Instance-Id: " + this.id + "\r\n", new byte[0]);
			return;
		}
		if (this.active.get() >= this.slots + 4) {
			answer(out, "503 Service Unavailable", "Pistachioline-Not-Executed: 1\r\nPistachioline-Attempt-Id: " + attempt
					+ "\r\n", new byte[0]);
			return;
		}
		this.active.incrementAndGet();
		try {
			this.record.accept("run " + attempt + " at " + this.id);
			final Behaviour own = this.behaviour;
			if (own != null && own.handle(this, head, body, in, out, socket)) {
				return;
			}
			if (this.domain.isEmpty()) {
				Thread.sleep(this.workMillis);
				answer(out, "200 OK", headers(attempt), ("done " + attempt + " " + "x".repeat(780)).getBytes(StandardCharsets.UTF_8));
			}
			else {
				stream(head, out, attempt);
			}
		}
		finally {
			this.active.decrementAndGet();
		}
	}

	private synchronized boolean isOpen() {
		return this.state.equals("open");
	}

	String headers(String attempt) {
		return "Pistachioline-Attempt-Id: " + attempt + "\r\nPistachioline-Response-Signature: " + this.id
				+ "\r\nPistachioline-Instance-Load: " + this.active.get() + ",0," + this.slots + "\r\n";
	}

	private void stream(Http.Head head, OutputStream out, String attempt) throws IOException, InterruptedException {
		final String after = head.header("Last-Event-Id");
		out.write(("HTTP/1.1 200 OK\r\n" + headers(attempt)
				+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.UTF_8));
		for (int event = (after != null) ? Integer.parseInt(after) + 1 : 1; event <= this.events; event++) {
			Thread.sleep(this.eventMillis);
			final byte[] piece = ("id: " + event + "\ndata: " + attempt + " " + "y".repeat(30) + "\n\n").getBytes(StandardCharsets.UTF_8);
			out.write((Integer.toHexString(piece.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
			out.write(piece);
			out.write("\r\n".getBytes(StandardCharsets.UTF_8));
			out.flush();
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	static void answer(OutputStream out, String status, String headers, byte[] body) throws IOException {
		final byte[] head = ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.UTF_8);
		final byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
		System.arraycopy(body, 0, all, head.length, body.length);
		out.write(all);
		out.flush();
	}

	private synchronized int order(String json) {
		final long token = Store.number(json, "FencingToken");
		if (token < this.fence) {
			return 412;
		}
		this.fence = token;
		final String name = Store.text(json, "group");
		final long number = Store.number(json, "epoch");
		final boolean same = name.equals(this.group) && number == this.epoch;
		this.record.accept("order " + Store.text(json, "Operation") + " " + name + "@" + number + " at " + this.id);
		switch (Store.text(json, "Operation")) {
			case "Phase" -> this.staged = Store.text(json, "Model");
			case "join" -> {
				if (number < this.highestEpoch) {
					return 412;
				}
				if (same) {
					return 200;
				}
				this.group = name;
				this.epoch = number;
				this.highestEpoch = number;
				this.model = Store.text(json, "Model");
				this.rank = rankIn(json);
				this.state = "joining";
				later(this.model.equals(this.lastModel) ? 200 : 1_200, number, "joining", "ready");
				this.lastModel = this.model;
				this.staged = this.model;
			}
			case "open" -> {
				if (!same || !(this.state.equals("ready") || this.state.equals("open"))) {
					return 409;
				}
				if (this.state.equals("open")) {
					return 200;
				}
				later(300, number, "ready", "open");
			}
			case "close" -> {
				if (!same) {
					return 409;
				}
				this.state = "ready";
			}
			case "leave" -> {
				if (!same) {
					return 409;
				}
				this.group = "";
				this.state = "";
			}
			default -> {
				return 400;
			}
		}
		writeEntry();
		return 202;
	}

	private int rankIn(String json) {
		final String list = json.substring(json.indexOf("\"Members\""));
		final String[] names = list.substring(list.indexOf('[') + 1, list.indexOf(']')).replace("\"", "").split(",");
		for (int i = 0; i < names.length; i++) {
			if (names[i].trim().equals(this.id)) {
				return i;
			}
		}
		return 0;
	}

	private void later(int millis, long number, String from, String to) {
		thread(() -> {
			Thread.sleep(millis);
			synchronized (this) {
				if (this.epoch == number && this.state.equals(from)) {
					this.state = to;
					writeEntry();
				}
			}
		});
	}

}
