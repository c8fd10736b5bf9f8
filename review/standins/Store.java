import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store, as far as the daemon calls it: keyed topics and one consumer group. */
final class Store {

	private final HttpServer server;

	private final Map<String, Topic> topics = new HashMap<>();

	private final Map<String, Long> members = new LinkedHashMap<>();

	private long generation = 1;

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			final Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/pistachioline/", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	void put(String topic, String key, String value) {
		topic(topic).put(key, value.getBytes(StandardCharsets.UTF_8));
	}

	private synchronized Topic topic(String name) {
		return this.topics.computeIfAbsent(name, (key) -> new Topic());
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			exchange.getResponseHeaders().set("Store-Era", "1");
			final Map<String, String> query = query(exchange.getRequestURI().getQuery());
			final String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			switch (exchange.getRequestURI().getPath().substring("/pistachioline/".length())) {
				case "log-read" -> {
					final byte[] bytes = topic(query.get("Topic")).read(Long.parseLong(query.get("From")),
							Long.parseLong(query.getOrDefault("WaitMs", "0")));
					if (bytes == null) {
						exchange.sendResponseHeaders(410, -1);
						return;
					}
					exchange.sendResponseHeaders(200, bytes.length);
					exchange.getResponseBody().write(bytes);
				}
				case "log-newest" -> json(exchange, topic(query.get("Topic")).latest(query.getOrDefault("After", "")));
				case "log-join" -> json(exchange, join(text(body, "Member"), number(body, "TtlMs"), text0(body)));
				case "log-leave" -> json(exchange, leave(text(body, "Member")));
				default -> exchange.sendResponseHeaders(404, -1);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String text0(String body) {
		final Matcher found = Pattern.compile("\"Topics\"\\s*:\\s*\\[\\s*\"([^\"]*)\"").matcher(body);
		return found.find() ? found.group(1) : "";
	}

	static String text(String json, String field) {
		final Matcher found = Pattern.compile("\"" + field + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
		return found.find() ? found.group(1) : "";
	}

	static long number(String json, String field) {
		final Matcher found = Pattern.compile("\"" + field + "\"\\s*:\\s*(-?[0-9]+)").matcher(json);
		return found.find() ? Long.parseLong(found.group(1)) : 0;
	}

	private synchronized String join(String member, long ttlMillis, String topic) {
		final long now = System.nanoTime();
		final boolean expired = this.members.values().removeIf((until) -> now - until > 0);
		if (expired || !this.members.containsKey(member)) {
			this.generation++;
		}
		this.members.put(member, now + ttlMillis * 1_000_000);
		final String rows = this.members.keySet().iterator().next().equals(member) ? "[\"" + topic + "\",0,0]" : "";
		return "{\"Generation\":" + this.generation + ",\"TtlMs\":" + ttlMillis + ",\"parts\":[" + rows + "]}";
	}

	private synchronized String leave(String member) {
		this.members.remove(member);
		this.generation++;
		return "{}";
	}

	private static void json(HttpExchange exchange, String json) throws IOException {
		final byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(200, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

	private static Map<String, String> query(String text) {
		final Map<String, String> query = new HashMap<>();
		if (text != null) {
			for (final String part : text.split("&")) {
				final int equals = part.indexOf('=');
				query.put(part.substring(0, equals), part.substring(equals + 1));
			}
		}
		return query;
	}

	/** A keyed topic with one partition. */
	private static final class Topic {

		private final List<byte[]> records = new ArrayList<>();

		private final Map<String, Integer> latest = new TreeMap<>();

		synchronized void put(String key, byte[] value) {
			final byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
			final ByteArrayOutputStream record = new ByteArrayOutputStream();
			record.write(keyBytes.length);
			record.writeBytes(keyBytes);
			record.writeBytes(value);
			this.records.add(record.toByteArray());
			if (value.length == 0) {
				this.latest.remove(key);
			}
			else {
				this.latest.put(key, this.records.size() - 1);
			}
			notifyAll();
		}

		synchronized byte[] read(long from, long waitMillis) throws InterruptedException, IOException {
			if (from == this.records.size() && waitMillis > 0) {
				wait(waitMillis);
			}
			if (from > this.records.size()) {
				return null;
			}
			final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			final DataOutputStream out = new DataOutputStream(bytes);
			out.writeLong(this.records.size());
			out.writeLong(0);
			for (int offset = (int) from; offset < this.records.size(); offset++) {
				out.writeInt(this.records.get(offset).length);
				out.write(this.records.get(offset));
			}
			return bytes.toByteArray();
		}

		synchronized String latest(String after) {
			final StringBuilder items = new StringBuilder();
			int count = 0;
			boolean more = false;
			for (final Map.Entry<String, Integer> entry : this.latest.entrySet()) {
				if (entry.getKey().compareTo(after) <= 0) {
					continue;
				}
				if (count == 500) {
					more = true;
					break;
				}
				final byte[] record = this.records.get(entry.getValue());
				final int start = 1 + Byte.toUnsignedInt(record[0]);
				final byte[] value = java.util.Arrays.copyOfRange(record, start, record.length);
				items.append((count > 0) ? "," : "")
					.append("{\"Key\":\"" + entry.getKey() + "\",\"Value\":\"" + Base64.getEncoder().encodeToString(value)
							+ "\",\"Offset\":" + entry.getValue() + "}");
				count++;
			}
			return "{\"Items\":[" + items + "],\"HasMore\":" + more + ",\"EndOffset\":" + this.records.size() + "}";
		}

	}

}
