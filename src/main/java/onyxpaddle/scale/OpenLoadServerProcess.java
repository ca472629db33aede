package onyxpaddle.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** An {@link OpenLoadServer} in a process of its own; it ends with this one, as it reads its standard input to the end. */
public final class OpenLoadServerProcess implements AutoCloseable {
    private final Process process;
    private final InetSocketAddress prompt;
    private final InetSocketAddress delayed;

    private OpenLoadServerProcess(Process process, InetSocketAddress prompt, InetSocketAddress delayed) {
        this.process = process;
        this.prompt = prompt;
        this.delayed = delayed;
    }

    /** Starts one and waits until it listens; {@code delayMicros}: of its second port. */
    public static OpenLoadServerProcess start(long delayMicros) throws IOException, URISyntaxException {
        Path jar = Path.of(OpenLoadServer.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1", "-Xmx64m", "-Xss512k", "-cp", jar.toString(), OpenLoadServer.class.getName(), String.valueOf(delayMicros))
            .redirectError(ProcessBuilder.Redirect.DISCARD).start();
        try {
            BufferedReader out = process.inputReader(StandardCharsets.US_ASCII);
            String ports = out.readLine();
            if (ports == null) {
                throw new IOException("the server ended before it listened");
            }
            String[] both = ports.split(" ");
            return new OpenLoadServerProcess(process, loopback(both[0]), loopback(both[1]));
        } catch (IOException | RuntimeException e) {
            process.destroyForcibly();
            throw e;
        }
    }

    private static InetSocketAddress loopback(String port) {
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(port));
    }

    /** Where it answers at once. */
    public InetSocketAddress prompt() {
        return prompt;
    }

    /** Where it answers after its delay. */
    public InetSocketAddress delayed() {
        return delayed;
    }

    /** Its process id. */
    public long pid() {
        return process.pid();
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
