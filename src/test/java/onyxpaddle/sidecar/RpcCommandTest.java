package onyxpaddle.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import onyxpaddle.standin.FaultScript;
import onyxpaddle.standin.FaultScript.Fault;
import onyxpaddle.standin.ExecutionCounter;
import onyxpaddle.standin.StandInRpcServer;
import org.junit.jupiter.api.Test;

/** The command `rpc call` against a stand-in server. */
class RpcCommandTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return RpcCommand.run(args, new PrintWriter(out), new PrintWriter(err));
    }

    @Test
    void callsAServer() throws Exception {
        try (StandInRpcServer server = new StandInRpcServer("one", 0, new ExecutionCounter())) {
            String at = server.hostPort();
            assertEquals(0, run("call", at, "look"));
            assertEquals("{\"by\":\"one\",\"method\":\"look\",\"params\":[]}\n", out.toString());
            out.getBuffer().setLength(0);
            assertEquals(0, run("call", at, "book", "[\"a\", 1, -2.5, true, null, {\"b\": [123456789012345]}]", "--key", "k1",
                "--expires", "700", "--retry"));
            assertEquals("{\"by\":\"one\",\"method\":\"book\",\"params\":[\"a\",1,-2.5,true,null,{\"b\":[123456789012345]}]}\n",
                out.toString());
            assertEquals(1, server.executions().runs("k1"));
            assertEquals(3, server.lastEnvelope().size());
            assertEquals(69, run("call", at, "fail"));
            assertEquals("error: \"failed as asked\"\n", err.toString());
            assertEquals(69, run("call", at, "refuse"));
            assertTrue(err.toString().contains("node error: {\"lupinmount\":{\"code\":\"refused\""), err::toString);
            long before = server.notified();
            assertEquals(0, run("call", at, "told", "--notify"));
            while (server.notified() == before) {
                Thread.onSpinWait();
            }
            server.faults(FaultScript.sequence(0, Fault.LOSE_REPLY, Fault.CUT_SHORT));
            assertEquals(1, run("call", at, "look", "--timeout", "1"));
            assertEquals(1, run("call", at, "look"));
        }
    }

    @Test
    void wrongUsageExitsWith64() {
        for (String[] args : new String[][] {{"call", "nowhere", "m"}, {"call", "127.0.0.1:1", "m", "{}"},
            {"call", "127.0.0.1:1", "m", "[1"}, {"call", "127.0.0.1:1", "m", "[1] 2"}, {"call"}, {"cal"},
            {"call", "127.0.0.1:1", "m", "--colour"}}) {
            assertEquals(64, run(args), String.join(" ", args));
        }
    }
}
