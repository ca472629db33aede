package onyxpaddle.serve;

import static onyxpaddle.serve.RpcRig.await;
import static onyxpaddle.serve.RpcRig.text;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import onyxpaddle.serve.RpcRig.Box;
import onyxpaddle.standin.RpcCaller;
import onyxpaddle.standin.RpcCaller.Reply;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessagePack;
import org.msgpack.value.MapValue;
import org.msgpack.value.ValueFactory;

/** A pool shared by callers of both protocols, with servers that speak one or both of them, and with lists that change. */
class SharedServersTest {
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static String config(String poolLines, String... servers) {
        return RpcRig.BOTH_LISTENERS + """
            classes:
              look: {effect: safe, deadline: 5 s}
              book: {effect: unsafe, deadline: 5 s}
            pools:
              boxes:
                servers: [%s]
            %sroutes:
              - {name: web-look, listener: web, path: /look, pool: boxes, class: look, procedure: look}
              - {name: web-book, listener: web, path: /visits, pool: boxes, class: book, procedure: book}
              - {name: web-fail, listener: web, path: /fail, pool: boxes, class: book, procedure: fail}
            procedures:
              - {name: look, listener: in, procedure: "look*", pool: boxes, class: look, path: /look}
              - {name: book, listener: in, procedure: book, pool: boxes, class: book, path: /visits}
            """.formatted(String.join(", ", servers), poolLines.isEmpty() ? "" : poolLines.indent(4));
    }

    private HttpResponse<byte[]> post(RpcRig rig, String path, byte[] body, String... headers) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:"
            + rig.node.address("web").getPort() + path)).timeout(SidecarRig.TIMEOUT).POST(BodyPublishers.ofByteArray(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), BodyHandlers.ofByteArray());
    }

    @Test
    void serverOfBothProtocolsIsReachedByTheProtocolOfTheCaller() throws Exception {
        try (Box box = new Box("one"); RpcRig rig = new RpcRig(config("", box.bothProtocols("one"))); RpcCaller caller = rig.caller()) {
            Reply reply = caller.callAndWait("look.x", text("a"));
            assertEquals(text("one"), reply.result().asMapValue().map().get(text("by")));
            HttpResponse<byte[]> answer = post(rig, "/visits", "plain".getBytes(), "X-Effect", "h1");
            // A route with a procedure requires a MessagePack array as body, as a MessagePack-RPC server may be drawn for it.
            assertEquals(400, answer.statusCode());
            answer = post(rig, "/visits", new byte[] {(byte) 0x91, 5}, "X-Effect", "h1");
            assertEquals(200, answer.statusCode());
            assertEquals("one", answer.headers().firstValue("X-Stand-In").orElse("none"));
            assertEquals(1, box.ledger.runs("h1"));
        }
    }

    @Test
    void rpcCallsReachHttpServers() throws Exception {
        try (Box box = new Box("one"); RpcRig rig = new RpcRig(config("", box.httpOnly("one"))); RpcCaller caller = rig.caller()) {
            Reply reply = caller.callAndWait("book", text("a"), ValueFactory.newInteger(7));
            assertTrue(reply.ok());
            // The stand-in answers in plain text, which becomes a binary result; the request body is the unchanged array.
            byte[] result = reply.result().asBinaryValue().asByteArray();
            assertEquals("one POST /visits 4 bytes\n", new String(result));
            assertEquals("one POST /look/slots 1 bytes\n",
                new String(caller.callAndWait("lookslots").result().asBinaryValue().asByteArray()));
            box.http.refuses(true);
            assertEquals("refused", caller.callAndWait("book", text("a")).nodeErrorCode());
        }
    }

    @Test
    void httpErrorStatusBecomesAnApplicationError() throws Exception {
        try (Box box = new Box("one");
                RpcRig rig = new RpcRig(config("", box.httpOnly("one"))); RpcCaller caller = rig.caller()) {
            box.http.status(404);
            Reply reply = caller.callAndWait("book", text("a"));
            MapValue http = reply.error().asMapValue().map().get(text("http")).asMapValue();
            assertEquals(404, http.map().get(text("status")).asIntegerValue().toInt());
            assertEquals(text("text/plain"), http.map().get(text("type")));
            assertTrue(reply.result().isNilValue());
        }
    }

    @Test
    void httpRequestsReachRpcServers() throws Exception {
        try (Box box = new Box("one"); RpcRig rig = new RpcRig(config("rpc: {envelope: true}", box.rpcOnly("one")))) {
            byte[] params = {(byte) 0x92, (byte) 0xa1, 'k', 5};
            HttpResponse<byte[]> answer = post(rig, "/visits", params, "Idempotency-Key", "key-7");
            assertEquals(200, answer.statusCode());
            assertEquals("application/msgpack", answer.headers().firstValue("Content-Type").orElse("none"));
            MapValue result = MessagePack.newDefaultUnpacker(answer.body()).unpackValue().asMapValue();
            assertEquals(text("book"), result.map().get(text("method")));
            assertEquals(ValueFactory.newArray(text("k"), ValueFactory.newInteger(5)), result.map().get(text("params")));
            assertEquals(1, box.ledger.runs("key-7"));
            HttpResponse<byte[]> failed = post(rig, "/fail", params);
            assertEquals(422, failed.statusCode());
            assertEquals("1", failed.headers().firstValue("X-Rpc-Error").orElse("none"));
            assertEquals(text("failed as asked"), MessagePack.newDefaultUnpacker(failed.body()).unpackValue());
            HttpResponse<byte[]> none = post(rig, "/look", new byte[0]);
            assertEquals(200, none.statusCode());
            for (byte[] invalid : List.of(new byte[] {5}, new byte[] {(byte) 0x92, 5}, new byte[] {(byte) 0x91, 5, 5},
                "text".getBytes())) {
                assertEquals(400, post(rig, "/visits", invalid).statusCode());
            }
            box.rpc.refuses(true);
            HttpResponse<byte[]> refused = post(rig, "/visits", params);
            assertEquals(503, refused.statusCode());
        }
    }

    /** Calls in flight by one protocol count in the balancer's choice for the other protocol. */
    @Test
    void requestsInFlightCountForBothProtocols() throws Exception {
        try (Box one = new Box("one"); Box two = new Box("two");
                RpcRig rig = new RpcRig(config("", one.bothProtocols("one"), two.bothProtocols("two"))); RpcCaller caller = rig.caller()) {
            for (int i = 0; i < 100; i++) {
                assertTrue(caller.callAndWait("look.x").ok());
            }
            // HTTP requests that do not finish fill box one; calls should go to box two.
            one.frozen(true);
            List<CompletableFuture<HttpResponse<byte[]>>> open = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                open.add(client.sendAsync(HttpRequest.newBuilder(URI.create("http://127.0.0.1:"
                    + rig.node.address("web").getPort() + "/visits")).timeout(SidecarRig.TIMEOUT)
                    .POST(BodyPublishers.ofByteArray(new byte[] {(byte) 0x90})).build(), BodyHandlers.ofByteArray()));
            }
            await(() -> open.stream().filter(CompletableFuture::isDone).count() >= 20);
            long onTwo = two.ledger.served();
            List<CompletableFuture<Reply>> calls = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                calls.add(caller.call("book", text("b" + i)));
            }
            await(() -> two.ledger.served() - onTwo >= 30);
            one.frozen(false);
            for (CompletableFuture<Reply> call : calls) {
                call.get(RpcRig.TIMEOUT_S, TimeUnit.SECONDS);
            }
            for (int i = 0; i < 40; i++) {
                assertTrue(one.ledger.runs("b" + i) + two.ledger.runs("b" + i) <= 1);
            }
        }
    }

    /** The listed protocols change from HTTP only to both, to MessagePack-RPC only and back, under continuous calls. */
    @Test
    void listChangesItsProtocolsUnderLoad() throws Exception {
        try (Box one = new Box("one").delay(2, 3); Box two = new Box("two").delay(2, 3);
                RpcRig rig = new RpcRig(config("", one.httpOnly("one"), two.httpOnly("two"))); RpcCaller caller = rig.caller()) {
            AtomicBoolean running = new AtomicBoolean(true);
            List<String> failures = java.util.Collections.synchronizedList(new ArrayList<>());
            int[] callCount = new int[1];
            Thread load = new Thread(() -> {
                try {
                    while (running.get()) {
                        List<CompletableFuture<Reply>> open = new ArrayList<>();
                        for (int i = 0; i < 20; i++) {
                            open.add(caller.call("book", text("c" + callCount[0]++)));
                        }
                        for (CompletableFuture<Reply> reply : open) {
                            Reply got = reply.get(RpcRig.TIMEOUT_S, TimeUnit.SECONDS);
                            if (!got.ok()) {
                                failures.add(got.error().toString());
                            }
                        }
                    }
                } catch (Exception e) {
                    failures.add(e.toString());
                }
            });
            load.start();
            for (int i = 0; i < 12; i++) {
                int kind = i % 4;
                String next = kind == 0 || kind == 2 ? config("", one.bothProtocols("one"), two.bothProtocols("two"))
                    : kind == 1 ? config("", one.rpcOnly("one"), two.rpcOnly("two"))
                    : config("", one.httpOnly("one"), two.httpOnly("two"));
                int before = callCount[0];
                assertNull(rig.node.change(SidecarRig.config(next)).get(RpcRig.TIMEOUT_S, TimeUnit.SECONDS));
                await(() -> callCount[0] > before + 60 || !failures.isEmpty());
            }
            running.set(false);
            load.join();
            assertEquals(List.of(), failures);
            // Calls forwarded by HTTP carry no effect name, so that only those by MessagePack-RPC are counted by name.
            for (int i = 0; i < callCount[0]; i++) {
                assertTrue(one.ledger.runs("c" + i) + two.ledger.runs("c" + i) <= 1);
            }
            assertTrue(one.ledger.served() + two.ledger.served() == callCount[0], "ran " + (one.ledger.served()
                + two.ledger.served()) + " of " + callCount[0]);
        }
    }

    /** The final drain answers calls already received, refuses later ones, and closes the connections. */
    @Test
    void finalDrainAnswersOpenCallsAndRefusesLaterOnes() throws Exception {
        try (Box box = new Box("one").delay(2500, 0); RpcRig rig = new RpcRig(config("", box.bothProtocols("one")));
                RpcCaller caller = rig.caller()) {
            List<CompletableFuture<Reply>> accepted = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                accepted.add(caller.call("book", text("t" + i)));
            }
            await(() -> box.ledger.served() == 20);
            Thread drain = new Thread(rig.node::drain);
            drain.start();
            // None of these is awaited: a call that arrives before the drain is accepted, and its answer may be the last of all.
            List<CompletableFuture<Reply>> late = new ArrayList<>();
            await(() -> {
                late.add(caller.call("book", text("late")));
                return late.stream().anyMatch(reply -> reply.isDone() && "refused".equals(reply.join().nodeErrorCode()));
            });
            for (CompletableFuture<Reply> reply : accepted) {
                assertTrue(reply.get(RpcRig.TIMEOUT_S, TimeUnit.SECONDS).ok());
            }
            caller.closed().get(RpcRig.TIMEOUT_S, TimeUnit.SECONDS);
            drain.join(TimeUnit.SECONDS.toMillis(RpcRig.TIMEOUT_S));
            assertTrue(!drain.isAlive(), "the drain has not ended");
        }
    }

    /** A listener that a reload removes serves its open connections for a while, then refuses calls and closes them. */
    @Test
    void listenerRemovedByAReloadServesItsOpenConnections() throws Exception {
        try (Box box = new Box("one"); RpcRig rig = new RpcRig(config("", box.bothProtocols("one"))); RpcCaller caller = rig.caller()) {
            assertTrue(caller.callAndWait("book", text("a")).ok());
            String without = config("", box.bothProtocols("one")).replaceAll("(?s)procedures:.*", "")
                .replaceAll("  in: [^\\n]*\\n", "");
            assertNull(rig.node.change(SidecarRig.config(without)).get(RpcRig.TIMEOUT_S, TimeUnit.SECONDS));
            assertTrue(caller.callAndWait("book", text("b")).ok(), "a connection made before the reload is still served");
            caller.closed().get(RpcRig.TIMEOUT_S, TimeUnit.SECONDS);
            await(() -> rig.node.retiringCount() == 0);
        }
    }
}
