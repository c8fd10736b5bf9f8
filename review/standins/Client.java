import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One client's connection, which it keeps for many requests. */
final class Client implements AutoCloseable {

	/** What a client got: a status and a body, or none (0) with the reason. */
	record Answer(int status, Http.Head head, byte[] body, String failure) {
	}

	private final String address;

	private Socket socket;

	private InputStream in;

	/** Answers that were received on the open connection. */
	int served;

	Client(String address) {
		this.address = address;
	}

	Answer send(String method, String path, String attempt, String headers, byte[] body, int timeoutMillis) {
		try {
			if (this.socket == null) {
				final int colon = this.address.lastIndexOf(':');
				this.socket = new Socket();
				this.socket.setTcpNoDelay(true);
				this.socket.connect(new InetSocketAddress(InetAddress.getByName(this.address.substring(0, colon)),
						Integer.parseInt(this.address.substring(colon + 1))), 1_000);
				this.in = new BufferedInputStream(this.socket.getInputStream());
				this.served = 0;
			}
			this.socket.setSoTimeout(timeoutMillis);
			final byte[] head = (method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nPistachioline-Attempt-Id: "
					+ attempt + "\r\nPistachioline-Deadline-Ms: " + timeoutMillis + "\r\n" + headers
					+ (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n")
				.getBytes(StandardCharsets.UTF_8);
			final byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
			System.arraycopy(body, 0, all, head.length, body.length);
			this.socket.getOutputStream().write(all);
			this.socket.getOutputStream().flush();
			final Http.Head answer = Http.head(this.in);
			if (answer == null) {
				close();
				return new Answer(0, null, null, "closed");
			}
			final byte[] answerBody = Http.body(answer, this.in);
			this.served++;
			if ("close".equalsIgnoreCase(answer.header("Connection"))) {
				close();
			}
			return new Answer(answer.status(), answer, answerBody, null);
		}
		catch (IOException ex) {
			close();
			return new Answer(0, null, null, ex.getClass().getSimpleName() + " " + ex.getMessage());
		}
	}

	@Override
	public void close() {
		try {
			if (this.socket != null) {
				this.socket.close();
			}
		}
		catch (IOException ex) {
			// It is closed.
		}
		this.socket = null;
	}

}
