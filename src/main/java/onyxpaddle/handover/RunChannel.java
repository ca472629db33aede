package onyxpaddle.handover;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

/** The connections to other processes of the node that take {@link RunMessage}s. Used on the event loop only. */
final class RunChannel {
    /** The node's own requests that must run once. */
    private final RunRegister register;
    private final Set<Channel> listeners = new HashSet<>();
    /** Those that have missed some messages. */
    private final Set<Channel> behind = new HashSet<>();

    RunChannel(RunRegister register) {
        this.register = register;
    }

    /** Begins to tell another process: first what is known of requests so far, then each change. */
    void add(Channel channel) {
        if (listeners.add(channel)) {
            tellAll(channel);
        }
    }

    private void tellAll(Channel channel) {
        ByteBuf out = channel.alloc().buffer();
        RunMessage.HELLO.write(out);
        register.current().stream().filter(RunMessage::fits).forEach(message -> message.write(out));
        channel.writeAndFlush(out);
    }

    void remove(Channel channel) {
        listeners.remove(channel);
        behind.remove(channel);
    }

    /** Tells the other processes. One that reads nothing, as it stands still, is told all at once when it reads again. */
    void tell(RunMessage message) {
        if (!message.fits()) {
            return;
        }
        for (Channel channel : listeners) {
            if (channel.isWritable()) {
                ByteBuf out = channel.alloc().buffer();
                message.write(out);
                channel.writeAndFlush(out);
            } else {
                behind.add(channel);
            }
        }
    }

    void writabilityChanged(Channel channel) {
        if (channel.isWritable() && behind.remove(channel)) {
            tellAll(channel);
        }
    }

    /** Takes what another process tells over a connection, as far as it has arrived whole. */
    void received(Channel from, ByteBuf in) throws IOException {
        for (RunMessage message = RunMessage.read(in); message != null; message = RunMessage.read(in)) {
            if (message.kind() == RunMessage.Kind.HELLO) {
                add(from);
            } else {
                register.received(message);
            }
        }
    }
}
