package onyxpaddle.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ArrayValue;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/**
 * A MessagePack-RPC client over one connection, with any number of calls open. For tests of faulty clients it can also send
 * arbitrary bytes, stop reading, and close the connection.
 */
public final class RpcCaller implements AutoCloseable {
    private static final String ENVELOPE = "lupinmount";
    private static final int TIMEOUT_MS = 10_000;

    /** An answer as received; one of the two values is nil. */
    public record Reply(Value error, Value result) {
        public boolean ok() {
            return error.isNilValue();
        }

        /** The code of an error that a node generated; null for an error of the application or a result. */
        public String nodeErrorCode() {
            Value nodeError = error.isMapValue() ? error.asMapValue().map().get(ValueFactory.newString(ENVELOPE)) : null;
            return nodeError == null ? null : nodeError.asMapValue().map().get(ValueFactory.newString("code")).asStringValue().asString();
        }
    }

    private final Socket socket = new Socket();
    private final Map<Long, CompletableFuture<Reply>> open = new ConcurrentHashMap<>();
    private final AtomicLong nextId = new AtomicLong();
    private final AtomicInteger unexpectedReplies = new AtomicInteger();
    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private volatile boolean reading = true;

    public RpcCaller(InetSocketAddress to) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(to, TIMEOUT_MS);
        Thread reader = new Thread(this::read, "rpc-caller");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        IOException cause = new IOException("the connection was closed");
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(new BufferedInputStream(socket.getInputStream()))) {
            while (unpacker.hasNext()) {
                ArrayValue frame = unpacker.unpackValue().asArrayValue();
                CompletableFuture<Reply> call = open.remove(frame.get(1).asIntegerValue().toLong());
                if (call == null) {
                    unexpectedReplies.incrementAndGet();
                } else {
                    call.complete(new Reply(frame.get(2), frame.get(3)));
                }
                while (!reading) {
                    TimeUnit.MILLISECONDS.sleep(1);
                }
            }
        } catch (IOException e) {
            cause = e;
        } catch (MessagePackException e) {
            cause = new IOException("malformed or truncated answer", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (CompletableFuture<Reply> call : open.values()) {
            call.completeExceptionally(cause);
        }
        closed.complete(null);
    }

    /** Sends a call with the next msgid. */
    public CompletableFuture<Reply> call(String method, Value... params) {
        return call(nextId.getAndIncrement(), method, params);
    }

    /** Sends a call with the given msgid. */
    public CompletableFuture<Reply> call(long id, String method, Value... params) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        open.put(id, reply);
        send(frame(id, method, params));
        if (closed.isDone() && open.remove(id) != null) {
            reply.completeExceptionally(new IOException("the connection was closed"));
        }
        return reply;
    }

    /** Sends a call and waits for the answer. */
    public Reply callAndWait(String method, Value... params) throws Exception {
        return call(method, params).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    public void sendNotification(String method, Value... params) {
        send(frame(-1, method, params));
    }

    /** The frame of a call, or of a notification if the id is negative. */
    public static byte[] frame(long id, String method, Value... params) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (id < 0) {
                packer.packArrayHeader(3).packInt(2);
            } else {
                packer.packArrayHeader(4).packInt(0).packLong(id);
            }
            packer.packString(method).packValue(ValueFactory.newArray(params));
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends the bytes as they are. */
    public void send(byte[] bytes) {
        try {
            synchronized (socket) {
                socket.getOutputStream().write(bytes);
            }
        } catch (IOException e) {
            List.copyOf(open.values()).forEach(call -> call.completeExceptionally(e));
        }
    }

    /** Stops or resumes reading answers. */
    public void reading(boolean on) {
        reading = on;
    }

    /** The number of answers that belong to no open call. */
    public int unexpectedReplies() {
        return unexpectedReplies.get();
    }

    /** Completes when the connection is closed. */
    public CompletableFuture<Void> closed() {
        return closed;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** An envelope from alternating names and values, which may be texts, numbers or flags. */
    public static Value envelope(Object... pairs) {
        Value[] values = Arrays.stream(pairs).map(RpcCaller::value).toArray(Value[]::new);
        return ValueFactory.newMap(ValueFactory.newString(ENVELOPE), ValueFactory.newMap(values));
    }

    private static Value value(Object object) {
        return object instanceof String text ? ValueFactory.newString(text) : object instanceof Boolean flag
            ? ValueFactory.newBoolean(flag) : object instanceof Double number ? ValueFactory.newFloat(number)
            : ValueFactory.newInteger(((Number) object).longValue());
    }
}
