import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A small deployment on loopback addresses: the platform's store, replicas (plain ones and ones that form groups), the
 * project's daemons as processes, started with the run command of deploy/system.toml, and clients on raw sockets. What
 * is sent, answered and run is written to record.txt.
 */
final class Deployment implements AutoCloseable {

	static final String HOST = "desk.example";

	static final String KEY = "n2ctnfzs989anu6wsjnb";

	static final String TENANT = "hule930";

	static final long HEARTBEAT_MS = 1200;

	static final long DRAIN_MS = 2_000;

	final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		final Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	final Path root;

	final PrintWriter record;

	final long startedNanos = System.nanoTime();

	final Path scratch;

	final Store store;

	final List<Daemon> daemons = new ArrayList<>();

	final List<Replica> replicas = new java.util.concurrent.CopyOnWriteArrayList<>();

	/** How often a replica took a join of another group while the head of its group was open or closing. */
	final java.util.concurrent.atomic.AtomicInteger brokenTwo = new java.util.concurrent.atomic.AtomicInteger();

	// So that two runs do not use the same addresses: the daemon's own port 9464 is fixed.
	private final int network = 1 + new Random().nextInt(250);

	Deployment(Path root, Path recordFile) throws IOException {
		this.root = root;
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile, StandardCharsets.UTF_8), true);
		this.scratch = Files.createTempDirectory("review");
		this.store = new Store();
		Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
	}

	long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos);
	}

	synchronized void log(String format, Object... args) {
		final String line = String.format(Locale.ROOT, "%9.3f  ", now() / 1000.0) + String.format(Locale.ROOT, format, args);
		this.record.println(line);
	}

	static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(ip, 0));
			return socket.getLocalPort();
		}
	}

	// ---- the platform's store

	final class Store {

		/** Where a replica that is a process of its own sends its entries: to the process that has the store. */
		volatile java.io.PrintStream forward;

		private volatile HttpServer server;

		final Map<String, Topic> topics = new ConcurrentHashMap<>();

		private volatile boolean away;

		private volatile long era = 1;

		private final Map<String, Long> members = new LinkedHashMap<>();

		private long generation = 1;

		private long ownedSince = 1;

		private String owner = "";

		Store() throws IOException {
			listen(0);
			Deployment.this.threads.execute(this::removeSilent);
		}

		private void listen(int port) throws IOException {
			this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
			this.server.setExecutor(Deployment.this.threads);
			this.server.createContext("/pistachioline/", this::handle);
			this.server.start();
		}

		/** How many replicas the store's list shows as free, with a staged model. */
		List<String> freeAndStaged() {
			return topic("keyed.servers").values().stream().filter((json) -> json.contains("\"group\":null")
					&& !json.contains("\"Staged\":[]")).map((json) -> json.replaceAll(".*\"Domain\":\"([^\"]*)\".*", "$1")).sorted().toList();
		}

		/** Copies what the store holds, as a backup does. */
		synchronized Map<String, Topic> copy() {
			final Map<String, Topic> copy = new HashMap<>();
			this.topics.forEach((name, topic) -> copy.put(name, topic.copy()));
			return copy;
		}

		/** Ends the store's process: connections are closed, new ones are refused, and nobody can write. */
		void goAway() {
			log("store: away");
			this.away = true;
			this.server.stop(0);
		}

		void awaitReturn() {
			while (this.away) {
				pause(10);
			}
		}

		/** Comes back from a copy, with a higher era. The members' times have expired. */
		void comeBack(Map<String, Topic> copy) throws IOException {
			synchronized (this) {
				this.topics.clear();
				this.topics.putAll(copy);
				this.members.clear();
				this.owner = "";
				this.era++;
			}
			this.returnedAtMillis = now();
			listen(this.server.getAddress().getPort());
			this.away = false;
			log("store: back from a copy, era %d", this.era);
		}

		String address() {
			return "127.0.0.1:" + this.server.getAddress().getPort();
		}

		Topic topic(String name) {
			return this.topics.computeIfAbsent(name, (key) -> new Topic());
		}

		private final Map<String, Long> writtenAtMillis = new ConcurrentHashMap<>();

		private volatile long returnedAtMillis;

		// An entry is removed after three heartbeat intervals of silence.
		private void removeSilent() {
			while (!Deployment.this.closing) {
				pause(100);
				final long now = now();
				for (final String key : topic("keyed.servers").keys()) {
					final long since = Math.max(this.returnedAtMillis, this.writtenAtMillis.getOrDefault(key, 0L));
					if (!this.away && now - since > 3 * HEARTBEAT_MS) {
						topic("keyed.servers").put(key, new byte[0]);
					}
				}
			}
		}

		boolean put(String topic, String key, String json) {
			if (this.away) {
				return false;
			}
			if (this.forward != null) {
				this.forward.println(topic + '\t' + key + '\t' + json);
				return true;
			}
			this.writtenAtMillis.put(key, now());
			topic(topic).put(key, json.getBytes(StandardCharsets.UTF_8));
			return true;
		}

		private void handle(HttpExchange exchange) throws IOException {
			try (exchange) {
				exchange.getResponseHeaders().set("Store-Era", Long.toString(this.era));
				final Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
				final String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
				switch (exchange.getRequestURI().getPath().substring("/pistachioline/".length())) {
					case "log-read" -> {
						final byte[] bytes = topic(query.get("Topic")).read(Long.parseLong(query.get("From")),
								Long.parseLong(query.getOrDefault("WaitMs", "0")));
						if (bytes == null) {
							answer(exchange, 410, "{\"FirstOffset\":0}");
							return;
						}
						exchange.sendResponseHeaders(200, bytes.length);
						exchange.getResponseBody().write(bytes);
					}
					case "log-newest" -> answer(exchange, 200, topic(query.get("Topic")).newest(query.getOrDefault("After", "")));
					case "log-join" -> answer(exchange, 200, join(body));
					case "log-leave" -> answer(exchange, 200, leave(body));
					case "log-commit" -> answer(exchange, commits(body) ? 200 : 409, "{}");
					default -> answer(exchange, 404, "{}");
				}
			}
		}

		private synchronized void expire() {
			final long now = System.nanoTime();
			if (this.members.values().removeIf((until) -> until < now)) {
				reassign();
			}
		}

		private void reassign() {
			this.generation++;
			final String next = this.members.isEmpty() ? "" : this.members.keySet().iterator().next();
			if (!next.equals(this.owner)) {
				this.owner = next;
				this.ownedSince = this.generation;
			}
		}

		private synchronized String join(String body) {
			expire();
			final String member = text(body, "Member");
			final long ttl = Long.parseLong(number(body, "TtlMs"));
			final boolean isNew = !this.members.containsKey(member);
			this.members.put(member, System.nanoTime() + ttl * 1_000_000);
			if (isNew) {
				reassign();
			}
			final Matcher topics = Pattern.compile("\"Topics\"\\s*:\\s*\\[\\s*\"([^\"]*)\"").matcher(body);
			final String topic = topics.find() ? topics.group(1) : "";
			final String rows = this.owner.equals(member) ? "[\"" + topic + "\",0,0]" : "";
			return "{\"Generation\":" + this.generation + ",\"TtlMs\":" + ttl + ",\"parts\":[" + rows + "]}";
		}

		private synchronized String leave(String body) {
			if (this.members.remove(text(body, "Member")) != null) {
				reassign();
			}
			return "{}";
		}

		private synchronized boolean commits(String body) {
			return this.owner.equals(text(body, "Member"))
					&& Long.parseLong(number(body, "Generation")) >= this.ownedSince;
		}

	}

	static final class Topic {

		private final List<byte[]> records = new ArrayList<>();

		private final TreeMap<String, Integer> newest = new TreeMap<>();

		synchronized List<String> keys() {
			return List.copyOf(this.newest.keySet());
		}

		synchronized List<String> values() {
			return this.newest.values()
				.stream()
				.map(this.records::get)
				.map((bytes) -> new String(bytes, 1 + (bytes[0] & 0xff), bytes.length - 1 - (bytes[0] & 0xff),
						StandardCharsets.UTF_8))
				.toList();
		}

		synchronized Topic copy() {
			final Topic copy = new Topic();
			copy.records.addAll(this.records);
			copy.newest.putAll(this.newest);
			return copy;
		}

		synchronized void put(String key, byte[] value) {
			final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			final byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
			bytes.write(keyBytes.length);
			bytes.writeBytes(keyBytes);
			bytes.writeBytes(value);
			this.records.add(bytes.toByteArray());
			if (value.length == 0) {
				this.newest.remove(key);
			}
			else {
				this.newest.put(key, this.records.size() - 1);
			}
			notifyAll();
		}

		synchronized byte[] read(long from, long waitMillis) throws IOException {
			if (from > this.records.size()) {
				return null;
			}
			final long until = System.nanoTime() + waitMillis * 1_000_000;
			while (from >= this.records.size() && until - System.nanoTime() > 0) {
				try {
					wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
			}
			final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			final DataOutputStream out = new DataOutputStream(bytes);
			out.writeLong(this.records.size());
			out.writeLong(0);
			for (int i = (int) from; i < this.records.size(); i++) {
				out.writeInt(this.records.get(i).length);
				out.write(this.records.get(i));
			}
			return bytes.toByteArray();
		}

		synchronized String newest(String after) {
			final StringBuilder items = new StringBuilder();
			for (final Map.Entry<String, Integer> entry : this.newest.tailMap(after, false).entrySet()) {
				final byte[] bytes = this.records.get(entry.getValue());
				items.append((items.length() > 0) ? "," : "")
					.append("{\"Key\":\"" + entry.getKey() + "\",\"Value\":\""
							+ Base64.getEncoder()
								.encodeToString(Arrays.copyOfRange(bytes, 1 + (bytes[0] & 0xff), bytes.length))
							+ "\",\"Offset\":" + entry.getValue() + "}");
			}
			return "{\"Items\":[" + items + "],\"HasMore\":false,\"EndOffset\":" + this.records.size() + "}";
		}

	}

	static String text(String json, String field) {
		final Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
		return matcher.find() ? matcher.group(1) : "";
	}

	static String number(String json, String field) {
		final Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*(-?[0-9]+)").matcher(json);
		return matcher.find() ? matcher.group(1) : "0";
	}

	static Map<String, String> query(String raw) {
		final Map<String, String> query = new HashMap<>();
		for (final String part : (raw != null) ? raw.split("&") : new String[0]) {
			final int equals = part.indexOf('=');
			query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return query;
	}

	static void answer(HttpExchange exchange, int status, String json) throws IOException {
		final byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

	// ---- HTTP on raw sockets, for replicas and clients

	static final class Message {

		String startLine = "";

		final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		boolean complete;

		String end = "";

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String method() {
			return this.startLine.split(" ")[0];
		}

		String target() {
			return this.startLine.split(" ")[1];
		}

		int status() {
			return this.startLine.isEmpty() ? 0 : Integer.parseInt(this.startLine.split(" ")[1]);
		}

		String text() {
			return new String(this.body, StandardCharsets.ISO_8859_1);
		}

	}

	static String readLine(InputStream in) throws IOException {
		final ByteArrayOutputStream line = new ByteArrayOutputStream();
		int octet = in.read();
		while (octet >= 0 && octet != '\n') {
			line.write(octet);
			octet = in.read();
		}
		if (octet < 0) {
			return null;
		}
		return line.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
	}

	static boolean readHead(InputStream in, Message message) throws IOException {
		final String start = readLine(in);
		if (start == null) {
			return false;
		}
		message.startLine = start;
		String line = readLine(in);
		while (line != null && !line.isEmpty()) {
			final int colon = line.indexOf(':');
			message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
			line = readLine(in);
		}
		return line != null;
	}

	static Message readRequest(InputStream in) throws IOException {
		final Message message = new Message();
		if (!readHead(in, message)) {
			return null;
		}
		final int length = message.headers.containsKey("Content-Length") ? Integer.parseInt(message.header("Content-Length")) : 0;
		message.body = in.readNBytes(length);
		return message;
	}

	// Reads an answer to its end, whatever the end is.
	static Message readAnswer(InputStream in) {
		final Message message = new Message();
		final ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if (!readHead(in, message)) {
				message.end = "closed before the end of the head";
				return message;
			}
			if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
				message.complete = readChunks(in, body);
			}
			else if (message.headers.containsKey("Content-Length")) {
				final int length = Integer.parseInt(message.header("Content-Length"));
				body.writeBytes(in.readNBytes(length));
				message.complete = body.size() == length;
			}
			else {
				body.writeBytes(in.readAllBytes());
				message.complete = true;
			}
			message.end = message.complete ? "complete" : "closed before the end of the body";
		}
		catch (IOException ex) {
			message.end = ex.toString();
		}
		message.body = body.toByteArray();
		return message;
	}

	private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
		while (true) {
			final String size = readLine(in);
			if (size == null) {
				return false;
			}
			final int length = Integer.parseInt(size.trim(), 16);
			final byte[] chunk = in.readNBytes(length);
			body.writeBytes(chunk);
			if (chunk.length < length || readLine(in) == null) {
				return false;
			}
			if (length == 0) {
				return true;
			}
		}
	}

	// ---- replicas

	interface Work {

		/** Answers a request; returns whether the connection may go on. */
		boolean run(Replica replica, Message request, Socket socket) throws Exception;

	}

	final class Replica implements AutoCloseable {

		volatile String id = newReplicaId();

		final String service;

		final String zone;

		final String domain;

		private ServerSocket listener;

		private volatile int port;

		final Work work;

		volatile long born = System.currentTimeMillis();

		private long beats;

		private long sequence;

		private long fence = -1;

		private volatile String group = "";

		private volatile long epoch = -1;

		private String model = "";

		private String lastModel = "";

		private volatile int rank;

		volatile String state = "";

		private String members = "";

		private int active;

		private volatile boolean closed;

		private final List<Socket> sockets = new java.util.concurrent.CopyOnWriteArrayList<>();

		volatile boolean draining;

		Replica(String service, String zone, String domain, Work work) throws IOException {
			this.service = service;
			this.zone = zone;
			this.domain = domain;
			this.work = work;
			listen(0);
			Deployment.this.replicas.add(this);
			// Replicas write again within two seconds of the store's return, not all at the same time.
			final long afterReturnMs = 200 + new Random().nextInt(1_800);
			Deployment.this.threads.execute(() -> {
				while (!Deployment.this.closing) {
					if (!beat()) {
						Deployment.this.store.awaitReturn();
						pause(afterReturnMs);
						beat();
						log("replica %s (%s, %s): writes again", this.id, this.domain, this.state.isEmpty() ? "free" : this.state);
					}
					pause(HEARTBEAT_MS);
				}
			});
		}

		private void listen(int port) throws IOException {
			final ServerSocket opened = new ServerSocket();
			opened.setReuseAddress(true);
			opened.bind(new InetSocketAddress("127.0.0.1", port), 256);
			this.listener = opened;
			this.port = opened.getLocalPort();
			Deployment.this.threads.execute(() -> accept(opened));
		}

		/** Ends at once and for good. As with a killed process, the system closes its connections, in order. */
		void crash() throws IOException {
			log("replica %s: crashes", this.id);
			close();
			for (final Socket socket : this.sockets) {
				socket.close();
			}
			synchronized (this) {
				this.state = "";
			}
		}

		/** Starts again after a crash: under a new id, knowing nothing but the model that is staged on its host. */
		void startAgain() throws IOException {
			synchronized (this) {
				this.id = newReplicaId();
				this.born = System.currentTimeMillis();
				this.sequence = 0;
				this.fence = -1;
				this.epoch = -1;
				this.group = "";
				this.members = "";
				this.active = 0;
				listen(this.port);
				this.closed = false;
			}
			log("replica %s (%s): has started again", this.id, this.domain);
			beat();
		}

		/** Reports that it drains, serves for DrainMs and a little longer, and leaves. */
		void drain() {
			this.draining = true;
			log("replica %s: drains", this.id);
			beat();
			Deployment.this.threads.execute(() -> {
				pause(DRAIN_MS + 300);
				close();
				synchronized (this) {
					this.state = "";
				}
				Deployment.this.store.awaitReturn();
				Deployment.this.store.put("keyed.servers", this.id, "");
				log("replica %s: has left", this.id);
			});
		}

		void log(String format, Object... args) {
			Deployment.this.log(format, args);
		}

		private synchronized boolean beat() {
			if (this.closed) {
				return true;
			}
			this.beats++;
			final String groupJson = this.state.isEmpty() ? "null"
					: "{\"Name\":\"" + this.group + "\",\"epoch\":" + this.epoch + ",\"rank\":" + this.rank
							+ ",\"State\":\"" + this.state + "\"}";
			final String grouped = this.domain.isEmpty() ? ""
					: ",\"Domain\":\"" + this.domain + "\",\"Staged\":"
							+ (this.lastModel.isEmpty() ? "[]" : "[\"" + this.lastModel + "\"]") + ",\"group\":" + groupJson
							+ ",\"Phase\":\"mixed\",\"Models\":[]";
			return Deployment.this.store.put("keyed.servers", this.id,
					"{\"Service\":\"" + this.service + "\",\"Address\":\"127.0.0.1:" + this.port
							+ "\",\"Zone\":\"" + this.zone + "\",\"Version\":\"1\",\"Slots\":12,\"State\":\"" + (this.draining ? "draining" : "ready") + "\""
							+ ",\"ColdRemainingMs\":0,\"Sequence\":" + this.beats + ",\"born\":" + this.born + grouped + "}");
		}

		private void accept(ServerSocket at) {
			while (!at.isClosed()) {
				try {
					final Socket socket = at.accept();
					socket.setTcpNoDelay(true);
					this.sockets.add(socket);
					Deployment.this.threads.execute(() -> {
						serve(socket);
						this.sockets.remove(socket);
					});
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				final InputStream in = socket.getInputStream();
				boolean goesOn = true;
				while (goesOn) {
					final Message request = readRequest(in);
					if (request == null) {
						return;
					}
					if (request.headers.containsKey("Pistachioline-Target-Instance")
							&& !request.header("Pistachioline-Target-Instance").equals(this.id)) {
						reply(socket, 421, "Pistachioline-Not-Executed: 1\r\n", "{}");
					}
					else if (request.target().equals("/pistachioline/order")) {
						reply(socket, order(new String(request.body, StandardCharsets.UTF_8)), "", "{}");
					}
					else if (request.target().equals("/pistachioline/report") || request.target().equals("/healthz")) {
						reply(socket, 200, "Pistachioline-Instance-Id: " + this.id + "\r\n",
								"{\"born\":" + this.born + ",\"Busy\":false,\"Sequence\":" + this.sequence + "}");
					}
					else if (!this.domain.isEmpty() && !begin()) {
						reply(socket, 421, "Pistachioline-Not-Executed: 1\r\n", "{}");
					}
					else {
						try {
							goesOn = this.work.run(this, request, socket);
						}
						finally {
							end();
						}
					}
				}
			}
			catch (Exception ex) {
				// A daemon closes the connections of its own accord; broken work is logged where it runs.
			}
		}

		private synchronized boolean begin() {
			if (!this.state.equals("open")) {
				return false;
			}
			this.active++;
			return true;
		}

		private synchronized void end() {
			this.active = Math.max(0, this.active - 1);
			if (this.state.equals("closing") && this.active == 0) {
				change("ready");
			}
		}

		private void change(String next) {
			this.state = next;
			Deployment.this.threads.execute(this::beat);
		}

		private void later(long millis, String forGroup, long forEpoch, String from, String to) {
			Deployment.this.threads.execute(() -> {
				pause(millis);
				synchronized (this) {
					if (this.group.equals(forGroup) && this.epoch == forEpoch && this.state.equals(from)) {
						change(to);
					}
				}
			});
		}

		// The head of the group of which this replica is a member, if it is another group and its head is open or
		// closing. Read without a lock: the orders of a test come one after the other.
		private Replica openHead(String joined) {
			if (this.state.isEmpty() || this.group.equals(joined)) {
				return null;
			}
			return Deployment.this.replicas.stream()
				.filter((each) -> each.rank == 0 && each.group.equals(this.group) && each.epoch == this.epoch)
				.filter((each) -> each.state.equals("open") || each.state.equals("closing"))
				.findFirst()
				.orElse(null);
		}

		private synchronized int order(String body) {
			final long token = Long.parseLong(number(body, "FencingToken"));
			if (token < this.fence) {
				return 412;
			}
			this.fence = token;
			final String name = text(body, "group");
			final long wanted = Long.parseLong(number(body, "epoch"));
			switch (text(body, "Operation")) {
				case "join" -> {
					final String list = body.substring(body.indexOf("\"Members\""));
					if (wanted < this.epoch || (wanted == this.epoch && !list.equals(this.members))) {
						return 412;
					}
					if (wanted == this.epoch && !this.state.isEmpty()) {
						return 200;
					}
					final Replica openHead = openHead(name);
					if (openHead != null) {
						Deployment.this.brokenTwo.incrementAndGet();
						log("TWO: replica %s takes a join of %s epoch %d while head %s of its group %s epoch %d is %s", this.id,
								name, wanted, openHead.id, this.group, this.epoch, openHead.state);
					}
					this.group = name;
					this.epoch = wanted;
					this.members = list;
					this.model = text(body, "Model");
					this.rank = list.substring(0, list.indexOf(this.id)).split("i-", -1).length - 1;
					// From the host, or a load before traffic, which takes a tenth: both 1.6 s.
					final long millis = this.model.equals(this.lastModel) ? 200 : 1_600;
					this.lastModel = this.model;
					change("joining");
					later(millis, name, wanted, "joining", "ready");
				}
				case "open" -> {
					if (!this.group.equals(name) || this.epoch != wanted || this.rank != 0
							|| !(this.state.equals("ready") || this.state.equals("open"))) {
						return 409;
					}
					if (this.state.equals("open")) {
						return 200;
					}
					later(300, name, wanted, "ready", "open");
				}
				case "close" -> {
					if (!this.group.equals(name) || this.epoch != wanted) {
						return 409;
					}
					if (this.state.equals("open")) {
						change((this.active > 0) ? "closing" : "ready");
					}
				}
				case "leave" -> {
					if (this.group.equals(name) && this.epoch == wanted) {
						change("");
					}
				}
				case "Phase" -> {
					if (this.domain.isEmpty()) {
						return 400;
					}
					final String staged = text(body, "Model");
					Deployment.this.threads.execute(() -> {
						pause(1_600);
						synchronized (this) {
							this.lastModel = staged;
						}
						beat();
					});
				}
				default -> {
					return 400;
				}
			}
			this.sequence++;
			log("replica %s: %s %s epoch %d accepted", this.id, text(body, "Operation"), name, wanted);
			return 202;
		}

		@Override
		public void close() {
			this.closed = true;
			try {
				this.listener.close();
			}
			catch (IOException ex) {
				log("replica %s: %s", this.id, ex);
			}
		}

	}

	static void reply(Socket socket, int status, String headers, String body) throws IOException {
		final byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
		final ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(("HTTP/1.1 " + status + " Answer\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		out.writeBytes(bytes);
		socket.getOutputStream().write(out.toByteArray());
		socket.getOutputStream().flush();
	}

	// ---- the configuration

	static String route(String name, String prefix, String type, String service, int timeoutMs, int attempts,
			boolean resume) {
		return "{\"Name\":\"" + name + "\",\"Hostname\":\"" + HOST + "\",\"PathPrefix\":\"" + prefix
				+ "\",\"RouteType\":\"" + type + "\",\"TimeoutMs\":" + timeoutMs
				+ ",\"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"" + service + "\",\"MaxAttempts\":" + attempts
				+ ",\"Public\":false" + (type.equals("streaming") ? ",\"SessionAffinity\":true,\"StreamResume\":" + resume
						+ ",\"GapTargetMs\":300" : "")
				+ "}";
	}

	static String plainService(String name) {
		return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}";
	}

	static String modelService(String name, String model, int size) {
		return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":358,\"Protocol\":\"h1\",\"Tls\":false,"
				+ "\"Engine\":{\"Slots\":12,\"KvCapacity\":1312941,\"KvBytes\":136362,\"LinkMbps\":400000.0,\"Stride\":5,"
				+ "\"Models\":[{\"Name\":\"" + model + "\",\"size\":" + size
				+ ",\"Share\":1.0,\"pace\":1.0,\"LoadS\":16.0,\"WarmS\":1.6}],\"step_ms\":7.8,\"per_seq_ms\":0.134,"
				+ "\"context_per_k\":0.0136,\"read_per_s\":45900.0,\"pairs_per_m\":0.433,\"chunk\":2048,"
				+ "\"report_lag_ms\":200.0,\"LoadsPerS\":5.0,\"loads_at_once\":7,\"delays\":[],"
				+ "\"usual\":{\"prompt\":979,\"answer\":154},\"CacheSlots\":1,\"far_x\":4.0,\"FormMs\":300.0}}";
	}

	void configure(int version, List<String> routes, List<String> services) {
		this.store.put("keyed.op", "config",
				"{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":["
						+ String.join(",", services)
						+ "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
						+ "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"" + TENANT + "\",\"ApiKeys\":[\"" + KEY
						+ "\"],\"Priority\":1}]}");
		log("operator: configuration %d is acknowledged", version);
	}

	// ---- the daemons

	final class Daemon {

		final String name;

		final String zone;

		final String ip;

		final int frontend;

		final int ready;

		final int control;

		final int directory;

		final int internal;

		Process process;

		long terminatedAtMillis = -1;

		Daemon(String name, String zone) throws IOException {
			this.name = name;
			this.zone = zone;
			this.ip = "127." + Deployment.this.network + ".0." + (10 + Deployment.this.daemons.size());
			this.frontend = freePort(this.ip);
			this.ready = freePort(this.ip);
			this.control = freePort(this.ip);
			this.directory = freePort(this.ip);
			this.internal = freePort(this.ip);
			Deployment.this.daemons.add(this);
		}

		void start(boolean bootstrap) throws IOException {
			synchronized (Deployment.this) {
				if (!Deployment.this.closing) {
					launch(bootstrap);
				}
			}
		}

		private void launch(boolean bootstrap) throws IOException {
			final List<String> seeds = Deployment.this.daemons.stream()
				.limit(3)
				.map((each) -> "\"" + each.ip + ":" + each.control + "\"")
				.toList();
			final Path settings = Deployment.this.scratch.resolve(this.name + ".json");
			Files.writeString(settings, "{\"NodeName\":\"" + this.name + "\",\"Role\":\"daemon\",\"MachineClass\":\"edge\","
					+ "\"Serves\":[\"edge\",\"control_plane\",\"registry\"],\"Ip\":\"" + this.ip + "\",\"Zone\":\"" + this.zone
					+ "\",\"Region\":\"r\",\"Zones\":{\"z-a\":\"r\",\"z-b\":\"r\",\"z-c\":\"r\"},\"Listen\":{\"Frontend\":\""
					+ this.ip + ":" + this.frontend + "\",\"Ready\":\"" + this.ip + ":" + this.ready + "\",\"Control\":\""
					+ this.ip + ":" + this.control + "\",\"Directory\":\"" + this.ip + ":" + this.directory
					+ "\"},\"InternalPorts\":[" + this.internal + "," + (this.internal + 15) + "],\"Seeds\":["
					+ String.join(",", seeds) + "],\"Bootstrap\":" + bootstrap
					+ ",\"LossCounts\":false,\"Limits\":{\"CpuFraction\":0.75,\"Cores\":1,\"MemoryMb\":430,\"MaxFds\":4200,"
					+ "\"LinkMbps\":1000.0,\"DiskMb\":0},\"DataDir\":null,\"Discovery\":\"platform\",\"Entry\":\"registry\","
					+ "\"HeartbeatMs\":" + HEARTBEAT_MS + ",\"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\","
					+ "\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"gangs\"],\"FaultTolerance\":{\"Machines\":2,"
					+ "\"Zones\":0,\"Regions\":0},\"Bounds\":{\"SeedLagS\":3,\"ReuseAfterS\":2,\"StableWindowMs\":3000,"
					+ "\"AckMs\":4000,\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigApplyMs\":2000,"
					+ "\"RollbackSlackMs\":250,\"MaxStretchMs\":5000,\"StrictRevocation\":false,\"RevokeMs\":5000,"
					+ "\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,\"RetryBurst\":103,\"RecoverS\":12,\"PassMs\":120,"
					+ "\"RetryAfterS\":0,\"StallMs\":6000,\"FencingEnforced\":true,\"CeilingWindowS\":5,"
					+ "\"CeilingOverage\":1.1,\"ttl_max_s\":5},\"Platform\":{\"Address\":\"" + Deployment.this.store.address()
					+ "\",\"form\":\"log\",\"WritesPerS\":400,\"ReadsPerS\":2000,\"parts\":12,\"AppendMs\":2.0,"
					+ "\"PartitionMbS\":20.0,\"ReadMbS\":80.0,\"RecordBytes\":262144,\"CallBytes\":2097152,\"keep_s\":300,"
					+ "\"PartMb\":200,\"TtlMinMs\":1000}}");
			final ProcessBuilder builder = new ProcessBuilder(runCommand());
			builder.directory(Deployment.this.root.toFile());
			builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			builder.environment().put("PISTACHIOLINE_SETTINGS", settings.toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(ProcessBuilder.Redirect.appendTo(Deployment.this.scratch.resolve(this.name + ".log").toFile()));
			this.process = builder.start();
			log("%s: started", this.name);
		}

		private List<String> runCommand() throws IOException {
			for (final String line : Files.readAllLines(Deployment.this.root.resolve("deploy/system.toml"))) {
				final Matcher run = Pattern.compile("run\\s*=\\s*\"(.*)\"").matcher(line);
				if (run.matches()) {
					return List.of(run.group(1).split(" "));
				}
			}
			throw new IOException("deploy/system.toml has no run command");
		}

		boolean isReady() {
			return get(this.ip, this.ready, "/pistachioline/readyz").status() == 200;
		}

		List<String> lookup() {
			final String body = get(this.ip, this.directory,
					"/pistachioline/lookups?Name=" + HOST + "&Region=r&Zone=" + this.zone).text();
			final Matcher addresses = Pattern.compile("127\\.[0-9.]+:[0-9]+").matcher(body);
			final List<String> found = new ArrayList<>();
			while (addresses.find()) {
				found.add(addresses.group());
			}
			return found;
		}

		void terminate() {
			log("%s: SIGTERM", this.name);
			this.terminatedAtMillis = now();
			this.process.destroy();
		}

		boolean isAt(String address) {
			return address.equals(this.ip + ":" + this.frontend);
		}

	}

	static Message get(String ip, int port, String target) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(ip, port), 1000);
			socket.setSoTimeout(2000);
			socket.getOutputStream()
				.write(("GET " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nConnection: close\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			return readAnswer(socket.getInputStream());
		}
		catch (IOException ex) {
			final Message none = new Message();
			none.end = ex.toString();
			return none;
		}
	}

	void awaitReady(long millis) {
		final long until = now() + millis;
		while (now() < until) {
			if (this.daemons.stream().allMatch(Daemon::isReady)) {
				log("all daemons say that they are ready");
				return;
			}
			pause(100);
		}
		throw new IllegalStateException("the daemons did not become ready");
	}

	// ---- clients

	static String newReplicaId() {
		return "i-" + Long.toString(Long.MAX_VALUE / 2 + Math.abs(new Random().nextLong() / 2), 36).substring(0, 8);
	}

	static String newId() {
		return String.format("%016x", new Random().nextLong());
	}

	/** Sends one request on a connection of its own and reads the answer until the deadline. */
	Message call(String address, String method, String target, String id, int deadlineMs, String headers, byte[] body) {
		return call(address, method, target, id, deadlineMs, headers, body, KEY);
	}

	Message call(String address, String method, String target, String id, int deadlineMs, String headers, byte[] body,
			String key) {
		final int colon = address.lastIndexOf(':');
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
					1000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(deadlineMs);
			socket.getOutputStream().write(request(method, target, id, deadlineMs, headers, body, key));
			return readAnswer(socket.getInputStream());
		}
		catch (IOException ex) {
			final Message none = new Message();
			none.end = ex.toString();
			return none;
		}
	}

	static byte[] request(String method, String target, String id, int deadlineMs, String headers, byte[] body, String key) {
		final ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes((method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nPistachioline-Attempt-Id: " + id
				+ "\r\nPistachioline-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + key + "\r\n" + headers
				+ ((body.length > 0) ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		out.writeBytes(body);
		return out.toByteArray();
	}

	private volatile boolean closing;

	private synchronized void killAll() {
		this.closing = true;
		this.daemons.forEach((daemon) -> {
			if (daemon.process != null) {
				daemon.process.destroyForcibly();
			}
		});
	}

	@Override
	public void close() {
		killAll();
		for (final Daemon daemon : this.daemons) {
			try {
				if (daemon.process != null) {
					daemon.process.waitFor(5, TimeUnit.SECONDS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		this.replicas.forEach(Replica::close);
		this.store.server.stop(0);
		try (var files = Files.list(this.scratch)) {
			if (System.getenv("KEEP") == null) {
				files.forEach((file) -> file.toFile().delete());
				this.scratch.toFile().delete();
			}
		}
		catch (IOException ex) {
			log("%s", ex);
		}
		this.record.close();
	}

}
