package onyxpaddle.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.drill.ServeProcess;

/** A process of the program as built, {@code serve}, with the memory and compiler that nodes have in use. */
final class RealNode implements AutoCloseable {
    private static final List<String> OPTIONS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx40m", "-Xss512k",
        "-XX:MaxDirectMemorySize=24m", "-XX:+ExitOnOutOfMemoryError", "-XX:-UsePerfData",
        "-Dio.netty.leakDetection.level=disabled", ProcessCost.KEEP_COMPILERS);
    private static final long LONGEST_START_S = 60;
    private static final long LOOK_MS = 5;
    private static final int DOOR_MS = 2_000;

    final NodePlan plan;
    private final Process process;
    private final InetSocketAddress listen;
    private final InetSocketAddress admin;
    private final Path config;
    private final Path log;

    private RealNode(NodePlan plan, Process process, InetSocketAddress listen, InetSocketAddress admin, Path config, Path log) {
        this.plan = plan;
        this.process = process;
        this.listen = listen;
        this.admin = admin;
        this.config = config;
        this.log = log;
    }

    /** Starts one that keeps its files in that folder; {@code siblings}: how many fronts there are. */
    static RealNode start(NodePlan plan, int siblings, Path folder) throws IOException {
        InetSocketAddress listen = ServeProcess.freePort();
        InetSocketAddress admin = ServeProcess.freePort();
        Path log = folder.resolve(plan.name() + ".log");
        boolean front = plan.kind() == NodeKind.FRONT;
        Path config = folder.resolve(plan.name() + (front ? ".json" : ".yaml"));
        Files.writeString(config, front ? plan.json(ServeProcess.hostPort(listen), siblings) : plan.yaml(ServeProcess.hostPort(listen),
            ServeProcess.hostPort(admin)));
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(OPTIONS);
        command.addAll(List.of("-cp", ServeProcess.jar().toString(), "onyxpaddle.Main", "serve"));
        if (!front) {
            command.addAll(List.of("--config", config.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().keySet().removeIf(name -> name.startsWith("GW_"));
        if (front) {
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("GW_ADMIN", ServeProcess.hostPort(admin));
        }
        builder.environment().put("TMPDIR", folder.toString());
        return new RealNode(plan, builder.start(), listen, admin, config, log);
    }

    /** Waits until it says that it is ready. */
    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_START_S);
        while (!call("GET /ready").startsWith("HTTP/1.1 200")) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException(plan.name() + " was not ready within " + LONGEST_START_S + " s: " + Files.readString(log));
            }
            Thread.sleep(LOOK_MS);
        }
    }

    /** What the operators' door answers, head and all; empty where it doesn't. */
    String call(String what) {
        try (Socket socket = new Socket(admin.getAddress(), admin.getPort())) {
            socket.setSoTimeout(DOOR_MS);
            socket.getOutputStream().write((what + " HTTP/1.1\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }

    /** Processor time of its threads, in nanoseconds. */
    long cpuNanos() throws IOException {
        return ProcessCost.cpuNanos(process.pid());
    }

    double residentMiB() throws IOException {
        return ProcessCost.resident(process.pid()) / 1048576.0;
    }

    long pid() {
        return process.pid();
    }

    /** Writes another configuration over the one it has, in one step: the listener's worth of a change. It is not told. */
    void rewriteConfig() throws IOException {
        Path half = config.resolveSibling("." + config.getFileName());
        Files.writeString(half, plan.yaml(ServeProcess.hostPort(listen), ServeProcess.hostPort(admin)).replace("deadline: 2 s", "deadline: 3 s"));
        Files.move(half, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** Whether it has said that a changed configuration is in force. */
    boolean reloaded() throws IOException {
        return Files.readString(log).contains("reload: done");
    }

    /** Tells it by SIGHUP to read its configuration again, and waits until that is in force. */
    void reload() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_START_S);
        while (!reloaded()) {
            if (System.nanoTime() > end) {
                throw new IOException(plan.name() + " did not take its configuration: " + Files.readString(log));
            }
            Thread.sleep(1);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        process.onExit().join();
    }
}
