package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.ArrayList;
import java.util.List;

/** Records what a decoder reads, one line per frame. */
final class Recorder implements FrameSink {
    final List<String> frames = new ArrayList<>();
    /** Whether the decoder is asked to pause after each frame. */
    boolean pauseAfterFrame;
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
        return !pauseAfterFrame;
    }
}
