package onyxpaddle.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import onyxpaddle.config.HostPort;
import onyxpaddle.control.ChangeJson;
import onyxpaddle.control.ChangeRequest;
import onyxpaddle.control.ControlClient;
import onyxpaddle.control.PublishAnswer;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.EntryKey;
import onyxpaddle.drill.ServeProcess;

/** A publisher and replicas that follow it, processes of the program as built. Used by one thread. */
final class ControlProcesses implements AutoCloseable {
    private static final List<String> OPTIONS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-Xss512k", "-XX:-UsePerfData",
        ProcessCost.KEEP_COMPILERS);
    private static final Duration LONGEST = Duration.ofSeconds(60);
    private static final int MOST_ANSWER = 1 << 20;
    private static final long LOOK_MS = 10;

    private final Path folder;
    private final List<HostPort> addresses = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final ControlClient client = new ControlClient();

    /** Starts so many, the first as publisher, and waits until each answers. */
    ControlProcesses(int count) throws IOException, InterruptedException {
        folder = Files.createTempDirectory("scale-control");
        for (int i = 0; i < count; i++) {
            InetSocketAddress at = ServeProcess.freePort();
            addresses.add(new HostPort(at.getAddress().getHostAddress(), at.getPort()));
        }
        try {
            for (int i = 0; i < count; i++) {
                processes.add(start(i));
            }
            for (HostPort address : addresses) {
                awaitAnswer(address);
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private Process start(int number) throws IOException {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(OPTIONS);
        command.addAll(List.of("-cp", ServeProcess.jar().toString(), "onyxpaddle.Main", "control", "serve", "--listen",
            addresses.get(number).toString(), "--id", "r" + number, "--state", folder.resolve("r" + number).toString()));
        command.addAll(number == 0 ? List.of("--publisher", "--epoch", "1") : List.of("--follow",
            String.join(",", addresses.stream().filter(at -> !at.equals(addresses.get(number))).map(HostPort::toString).toList())));
        return new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(folder.resolve("r" + number + ".log").toFile()).start();
    }

    private void awaitAnswer(HostPort at) throws IOException, InterruptedException {
        long end = System.nanoTime() + LONGEST.toNanos();
        while (true) {
            try {
                client.get(at, "/v1/status", LONGEST, MOST_ANSWER);
                return;
            } catch (IOException e) {
                if (System.nanoTime() > end) {
                    throw e;
                }
                Thread.sleep(LOOK_MS);
            }
        }
    }

    /** Publishes one entry without waiting for replicas and returns the version. */
    String publish(String key, String value) throws IOException, InterruptedException {
        byte[] body = ChangeJson.write(new ChangeRequest(null, List.of(new Change(EntryKey.parse(key), value))));
        ControlClient.Response response = client.post(addresses.get(0), "/v1/changes", body, LONGEST, MOST_ANSWER);
        if (response.status() != 200) {
            throw new IOException("a change was answered " + response.status() + ": " + response.text());
        }
        return PublishAnswer.read(response.body()).version();
    }

    List<String> addresses() {
        return addresses.stream().map(HostPort::toString).toList();
    }

    /** Ends one at once, as if its machine had died. */
    void kill(int number) {
        processes.get(number).destroyForcibly();
        processes.get(number).onExit().join();
    }

    List<Long> pids() {
        return processes.stream().filter(Process::isAlive).map(Process::pid).toList();
    }

    /** Processor time of all that live, in nanoseconds. */
    long cpuNanos() throws IOException {
        long sum = 0;
        for (long pid : pids()) {
            sum += ProcessCost.cpuNanos(pid);
        }
        return sum;
    }

    /** Bytes that all that live read and wrote by system calls, of sockets and files. */
    long transferred() throws IOException {
        long sum = 0;
        for (long pid : pids()) {
            sum += ProcessCost.transferred(pid);
        }
        return sum;
    }

    @Override
    public void close() throws IOException {
        for (int i = 0; i < processes.size(); i++) {
            kill(i);
        }
        try (Stream<Path> left = Files.walk(folder)) {
            for (Path file : left.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
