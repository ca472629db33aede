package probe;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A change that was confirmed as being on a replica's disk is gone when the publisher's machine is lost. */
final class ConfirmedChange {
    /** Sections of one call: some 1.9 MB, under the 2 MiB of a call. */
    private static final int SECTIONS = 900;
    private static final String MARK = "attempts: 5";

    public static void main(String[] args) {
        Kit.play(ConfirmedChange::run);
    }

    private static CompletableFuture<String> publish(Kit kit, String what, InetSocketAddress at, String changes) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        Kit.thread(() -> {
            try {
                answer.complete(Control.publish(at, changes, 1, 30_000));
            } catch (Exception e) {
                answer.complete("no answer: " + e);
            }
            kit.note("publish " + what + " with one confirmation: " + answer.join());
        });
        return answer;
    }

    private static boolean has(InetSocketAddress at) {
        return Control.told(at, "booking-1", "booking").contains(MARK);
    }

    private static String run(Kit kit) throws Exception {
        InetSocketAddress a1 = Kit.free();
        InetSocketAddress a2 = Kit.free();
        InetSocketAddress a3 = Kit.free();
        Kit.Proc r1 = Control.start(kit, "r1", a1, kit.tmp.resolve("r1"), "--publisher --epoch 1");
        Control.awaitUp(kit, r1, a1);
        for (String pool : new String[] {"records", "registry"}) {
            kit.note("publish " + pool + ", the publisher being alone: " + Control.publish(a1, Control.sections(pool, SECTIONS), 0, 5_000));
        }
        CompletableFuture<String> change = publish(kit, "the change", a1,
            Control.change("service/booking/pools.records", MARK + "\nservers: [\"127.0.9.1:7001\"]\n"));
        if (!Kit.await(10_000, () -> Control.version(Control.status(a1)).equals("1.3"))) {
            throw new Kit.CouldNotRun("the change is not at the publisher");
        }
        publish(kit, "more 1", a1, Control.sections("labs", SECTIONS));
        if (!Kit.await(10_000, () -> Control.version(Control.status(a1)).equals("1.4"))) {
            throw new Kit.CouldNotRun("more 1 is not at the publisher");
        }
        publish(kit, "more 2", a1, Control.sections("stock", SECTIONS));
        if (!Kit.await(10_000, () -> Control.version(Control.status(a1)).equals("1.5"))) {
            throw new Kit.CouldNotRun("more 2 is not at the publisher");
        }
        Kit.Proc r2 = Control.start(kit, "r2", a2, kit.tmp.resolve("r2"), "--follow " + Kit.text(a1) + "," + Kit.text(a3));
        String answer = change.get(40, TimeUnit.SECONDS);
        if (Kit.TROUBLE) {
            r1.process.destroyForcibly().waitFor();
            kit.note("r1 killed: its machine is lost");
        }
        kit.note("the change: " + answer);
        if (!answer.startsWith("200 ")) {
            throw new Kit.CouldNotRun("the change was not confirmed: " + answer);
        }
        boolean held = Kit.await(Kit.TROUBLE ? 10_000 : 30_000, () -> has(a2));
        kit.note("r2: " + Control.status(a2));
        kit.note("r2 tells a node of the service: " + head(Control.told(a2, "booking-1", "booking")));
        if (!Kit.TROUBLE) {
            return held ? null : "r2 does not hold the change that it confirmed";
        }
        Kit.Proc r3 = Control.start(kit, "r3", a3, kit.tmp.resolve("r3"), "--publisher --epoch 2 --take-over-from " + Kit.text(a2));
        boolean up = Kit.await(13_000, () -> !r3.process.isAlive() || Control.status(a3) != null) && r3.process.isAlive();
        kit.note(up ? "r3: " + Control.status(a3) : "r3 has not taken over in 13 s: " + r3.log().strip());
        boolean taken = up && has(a3);
        kit.note("r2's log: " + r2.log().strip());
        return held || taken ? null : "version " + Control.version(answer) + " was confirmed by one replica, and after the loss of the publisher alone "
            + "no process has it";
    }

    private static String head(String text) {
        return text.substring(0, Math.min(200, text.length()));
    }
}
