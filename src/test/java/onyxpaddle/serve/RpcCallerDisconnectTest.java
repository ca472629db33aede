package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import onyxpaddle.serve.RpcRig.Box;
import onyxpaddle.standin.RpcCaller;
import org.junit.jupiter.api.Test;

/** A MessagePack-RPC call whose caller has already closed its connection is not sent, even if the event loop reads both late. */
class RpcCallerDisconnectTest {
    private static final long LOOP_DELAY_MS = 250;

    @Test
    void callReadTogetherWithTheCloseIsNotSent() throws Exception {
        try (Box box = new Box("one"); RpcRig rig = new RpcRig(RpcRig.config("", box.rpcOnly("one"))); RpcCaller other = rig.caller()) {
            assertTrue(other.callAndWait("book", RpcRig.text("b1")).ok());
            RpcCaller gone = rig.caller();
            assertTrue(gone.callAndWait("book", RpcRig.text("b2")).ok());
            BlockedEventLoop held = new BlockedEventLoop(rig.node.loop());
            gone.call("book", RpcRig.text("b3"));
            gone.close();
            held.releaseAfter(LOOP_DELAY_MS);
            gone.closed().handle((nothing, failure) -> null).join();
            assertTrue(other.callAndWait("book", RpcRig.text("b4")).ok());
            assertTrue(other.callAndWait("book", RpcRig.text("b5")).ok());
            assertEquals(0, box.ledger.runs("b3"));
            assertEquals(1, box.ledger.runs("b5"));
        }
    }
}
