package onyxpaddle.measure;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.drill.ServeProcess;

/** A node in a process of its own, with the heap and the compiler that it has in use: 64 MB, C1 only. */
final class NodeProcess implements AutoCloseable {
    private static final long LONGEST_START_S = 20;

    private final Path file;
    private final Process process;
    private final List<InetSocketAddress> listeners;
    private final double startMs;

    private NodeProcess(Path file, Process process, List<InetSocketAddress> listeners, double startMs) {
        this.file = file;
        this.process = process;
        this.listeners = listeners;
        this.startMs = startMs;
    }

    /** Starts one and waits until it is ready. {@code config}: %d stands for the port of each listener, an HTTP one first. */
    static NodeProcess start(String config, int listeners, Object... rest) throws Exception {
        List<InetSocketAddress> addresses = freePorts(listeners);
        List<Object> values = new ArrayList<>();
        addresses.forEach(a -> values.add(a.getPort()));
        values.addAll(List.of(rest));
        Path file = Files.createTempFile("measured", ".yaml");
        Files.writeString(file, config.formatted(values.toArray()));
        Path jar = ServeProcess.jar();
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-Xss512k"));
        String more = System.getProperty("measure.node.options", "");
        if (!more.isEmpty()) {
            command.addAll(List.of(more.split(" ")));
        }
        command.addAll(List.of("-cp", jar.toString(), "onyxpaddle.Main", "serve", "--config", file.toString()));
        long start = System.nanoTime();
        Process process = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        try {
            awaitReady(addresses.get(0));
            return new NodeProcess(file, process, addresses, (System.nanoTime() - start) / 1e6);
        } catch (IOException | InterruptedException e) {
            process.destroyForcibly();
            Files.delete(file);
            throw e;
        }
    }

    private static List<InetSocketAddress> freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                held.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
            }
            return held.stream().map(s -> new InetSocketAddress("127.0.0.1", s.getLocalPort())).toList();
        } finally {
            for (ServerSocket socket : held) {
                socket.close();
            }
        }
    }

    private static void awaitReady(InetSocketAddress node) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_START_S);
        byte[] ask = Load.get("/.lupinmount/ready", "Connection: close");
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket(node.getAddress(), node.getPort())) {
                socket.getOutputStream().write(ask);
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                if (answer.startsWith("HTTP/1.1 200")) {
                    return;
                }
            } catch (IOException e) {
                // not yet there
            }
            Thread.sleep(5);
        }
        throw new IOException("the node was not ready within " + LONGEST_START_S + " s");
    }

    InetSocketAddress listener(int number) {
        return listeners.get(number);
    }

    /** From its start until it said that it was ready, in milliseconds. */
    double startMs() {
        return startMs;
    }

    /** Its process id. */
    long pid() {
        return process.pid();
    }

    /** Its resident memory in MiB. */
    double resident() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
            }
        }
        return Double.NaN;
    }

    /** Bytes that it has read and written by system calls so far, of sockets and files. */
    long transferred() throws IOException {
        long sum = 0;
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/io"))) {
            if (line.startsWith("rchar:") || line.startsWith("wchar:")) {
                sum += Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return sum;
    }

    @Override
    public void close() throws IOException {
        process.destroy();
        // It may drain for as long as callers keep connections open; nothing here waits for an answer any more.
        try {
            process.waitFor(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        process.destroyForcibly();
        Files.delete(file);
    }
}
