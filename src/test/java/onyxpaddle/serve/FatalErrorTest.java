package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.AbstractReferenceCounted;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.ReferenceCounted;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.FatalErrors;
import onyxpaddle.node.Log;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A process whose event loop met an error ends with a failure, and at once: it neither lives on unserving nor ends with 0. */
class FatalErrorTest {
    private static final int TIMEOUT_S = 30;

    enum Place {
        /** A handler reports it for its connection. */
        CONNECTION,
        /** Nothing catches it, so its thread ends. */
        THREAD,
        /** It has ended the event loop of a node. */
        EVENT_LOOP,
        LOOP_TASK,
        SCHEDULED_TASK,
        PERIODIC_TASK,
        PROMISE_LISTENER,
        /** The release of a message that nobody handles any more. */
        RELEASE
    }

    /** The process under test. */
    static final class Probe {
        public static void main(String[] arguments) throws Exception {
            FatalErrors.endProcessOnUncaughtErrors();
            switch (Place.valueOf(arguments[0])) {
                case CONNECTION -> Log.failure("client connection", new OutOfMemoryError("Java heap space"));
                case THREAD -> new Thread(() -> {
                    throw new OutOfMemoryError("Java heap space");
                }).start();
                case LOOP_TASK -> new Loopback().node.loop().execute(Probe::recurse);
                case SCHEDULED_TASK -> new Loopback().node.loop().schedule(Probe::recurse, 1, TimeUnit.MILLISECONDS);
                case PERIODIC_TASK -> new Loopback().node.loop().scheduleWithFixedDelay(Probe::recurse, 1, 1, TimeUnit.MILLISECONDS);
                case PROMISE_LISTENER -> new Loopback().node.loop().newPromise().addListener(f -> recurse()).setSuccess(null);
                case RELEASE -> ReferenceCountUtil.safeRelease(new AbstractReferenceCounted() {
                    @Override
                    protected void deallocate() {
                        recurse();
                    }

                    @Override
                    public ReferenceCounted touch(Object hint) {
                        return this;
                    }
                });
                case EVENT_LOOP -> new Loopback().node.loop().shutdownGracefully(0, 0, TimeUnit.SECONDS);
            }
            new CountDownLatch(1).await();
        }

        private static void recurse() {
            recurse();
        }
    }

    @ParameterizedTest
    @EnumSource(Place.class)
    void processThatMetAnErrorEndsWithAFailure(Place place) throws Exception {
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
            System.getProperty("java.class.path"), Probe.class.getName(), place.name()).redirectErrorStream(true).start();
        try {
            assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "it lives on");
            assertEquals(FatalErrors.EXIT_CODE, process.exitValue());
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(output.contains("weldlink: fatal: "), output);
            boolean recursion = output.contains("StackOverflowError");
            assertEquals(recursion, output.contains("    ... ") && output.lines().filter(line -> line.contains("recurse")).count() >= 20, output);
        } finally {
            process.destroyForcibly();
        }
    }
}
