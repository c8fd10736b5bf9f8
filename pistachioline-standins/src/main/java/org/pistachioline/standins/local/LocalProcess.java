package org.pistachioline.standins.local;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One Java process of the system, started from this process's own class path and ended
 * with it.
 */
public final class LocalProcess implements AutoCloseable {

	private static final long LONGEST_WAIT_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final long LONGEST_STOP_SECONDS = 30;

	private static final double TICKS_PER_SECOND = 100;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final int USER_TICKS = 11;

	private static final int BYTES_PER_KIBIBYTE = 1_024;

	private final String name;

	private final Process process;

	private final List<Line> lines = new ArrayList<>();

	private boolean ended;

	private long endedAtNanos;

	private LocalProcess(String name, Process process) {
		this.name = name;
		this.process = process;
		final Thread reader = new Thread(this::readLines, name + "-output");
		reader.setDaemon(true);
		reader.start();
	}

	/**
	 * Starts a process.
	 * @param name its name in messages
	 * @param jvmOptions the virtual machine's options
	 * @param mainClass the name of the class with the main method
	 * @param arguments the command line
	 * @return the running process
	 */
	public static LocalProcess start(String name, List<String> jvmOptions, String mainClass, List<String> arguments) {
		final List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		// A crash in native code is told in the output, which is all that is kept.
		command.add("-XX:+ErrorFileToStdout");
		command.addAll(jvmOptions);
		command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
		command.addAll(arguments);
		try {
			final Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
			// An interrupted test or measurement would otherwise leave its processes
			// behind.
			Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
			return new LocalProcess(name, process);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void readLines() {
		try (BufferedReader reader = new BufferedReader(
				new InputStreamReader(this.process.getInputStream(), StandardCharsets.UTF_8))) {
			for (String text = reader.readLine(); text != null; text = reader.readLine()) {
				add(new Line(System.nanoTime(), text));
			}
		}
		catch (IOException ex) {
			add(new Line(System.nanoTime(), "output closed: " + ex.getMessage()));
		}
		synchronized (this) {
			this.endedAtNanos = System.nanoTime();
			this.ended = true;
			notifyAll();
		}
	}

	private synchronized void add(Line line) {
		this.lines.add(line);
		notifyAll();
	}

	/**
	 * Waits for a line of output.
	 * @param regex what the line contains
	 * @return the first such line
	 */
	public synchronized Line awaitLine(String regex) {
		final Pattern pattern = Pattern.compile(regex);
		final long begunAtNanos = System.nanoTime();
		int next = 0;
		while (true) {
			for (; next < this.lines.size(); next++) {
				if (pattern.matcher(this.lines.get(next).text()).find()) {
					return this.lines.get(next);
				}
			}
			final long leftNanos = LONGEST_WAIT_NANOS - (System.nanoTime() - begunAtNanos);
			if (this.ended || leftNanos <= 0) {
				throw new IllegalStateException(this.name + " printed no '" + regex + "' but:\n" + output());
			}
			try {
				TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException(ex);
			}
		}
	}

	/**
	 * Returns all output so far.
	 * @return the lines, each with its line break
	 */
	public synchronized String output() {
		final StringBuilder output = new StringBuilder();
		this.lines.forEach((line) -> output.append(line.text()).append('\n'));
		return output.toString();
	}

	/**
	 * Waits until the process has closed its output.
	 * @return all of it
	 */
	public synchronized String awaitOutput() {
		while (!this.ended) {
			try {
				wait();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException(ex);
			}
		}
		return output();
	}

	/**
	 * Sends a signal.
	 * @param signal the signal's short name, such as STOP
	 */
	public void signal(String signal) {
		try {
			final Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(pid()))
				.redirectErrorStream(true)
				.start();
			final String said = new String(kill.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
			final int status = kill.waitFor();
			if (status != 0) {
				throw new IllegalStateException("%s took no signal %s: kill ended with %d and said '%s'; %s"
					.formatted(this.name, signal, status, said, state()));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private String state() {
		if (this.process.isAlive()) {
			return "it lives and printed:\n" + output();
		}
		final String output = awaitOutput();
		return "it ended with %d, %.1f s ago, and printed:%n%s".formatted(this.process.exitValue(),
				(System.nanoTime() - this.endedAtNanos) / NANOS_PER_SECOND, output);
	}

	/**
	 * Waits until the process has ended.
	 * @return its exit status
	 */
	public int awaitExit() {
		try {
			if (!this.process.waitFor(LONGEST_STOP_SECONDS, TimeUnit.SECONDS)) {
				throw new IllegalStateException(this.name + " has not ended:\n" + output());
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Ends the process at once, without a chance to clean up.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit();
	}

	@Override
	public void close() {
		if (this.process.isAlive()) {
			kill();
		}
	}

	/**
	 * Returns the process's id.
	 * @return the id
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Returns how much processor time the process has taken.
	 * @return seconds of one core, user and system together
	 */
	public double cpuSeconds() {
		final String stat = proc("stat");
		final String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[USER_TICKS + 1])) / TICKS_PER_SECOND;
	}

	/**
	 * Returns how much memory of the process is resident.
	 * @return the bytes
	 */
	public long residentBytes() {
		final Matcher matcher = Pattern.compile("VmRSS:\\s+(\\d+) kB").matcher(proc("status"));
		matcher.find();
		return Long.parseLong(matcher.group(1)) * BYTES_PER_KIBIBYTE;
	}

	/**
	 * Collects garbage and returns what is left on the heap.
	 * @return the bytes of all live objects
	 */
	public long heapBytesAfterCollection() {
		final Matcher matcher = Pattern.compile("Total\\s+\\d+\\s+(\\d+)").matcher(jcmd("GC.class_histogram"));
		if (!matcher.find()) {
			throw new IllegalStateException(this.name + " gave no histogram");
		}
		return Long.parseLong(matcher.group(1));
	}

	private String jcmd(String command) {
		try {
			final Process jcmd = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
					Long.toString(pid()), command)
				.redirectErrorStream(true)
				.start();
			return new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private String proc(String file) {
		try {
			return Files.readString(Path.of("/proc", Long.toString(pid()), file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * A line of output.
	 *
	 * @param readAtNanos when it was read
	 * @param text the line
	 */
	public record Line(long readAtNanos, String text) {
	}

}
