package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.ArrayList;
import java.util.List;

/** Writes down what a decoder reads: a line for each frame. */
final class Recorder implements FrameSink {
    final List<String> frames = new ArrayList<>();
    /** After each frame the decoder is asked to wait. */
    boolean waits;
    private final StringBuilder payload = new StringBuilder();
    private String head;

    @Override
    public void call(long msgid, String method, int params, Envelope envelope) {
        head = (msgid == NOTIFICATION ? "notify " : "call " + msgid + " ") + method + " " + params
            + (envelope == null ? "" : " " + envelope);
    }

    @Override
    public void reply(long msgid) {
        head = "reply " + msgid;
    }

    @Override
    public void payload(ByteBuf bytes) {
        payload.append(ByteBufUtil.hexDump(bytes));
    }

    @Override
    public void errorEnded() {
        payload.append('|');
    }

    @Override
    public boolean end() {
        frames.add((head + " " + payload).trim());
        payload.setLength(0);
        return !waits;
    }
}
