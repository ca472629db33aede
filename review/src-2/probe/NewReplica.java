package probe;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/** A replica whose machine was replaced never gets the state again. */
final class NewReplica {
    private static final int SECTIONS = 900;
    private static final int CALLS = 7;
    private static final int WAIT_MS = 45_000;

    public static void main(String[] args) {
        Kit.play(NewReplica::run);
    }

    private static String run(Kit kit) throws Exception {
        InetSocketAddress a1 = Kit.free();
        InetSocketAddress a2 = Kit.free();
        Path folder = kit.tmp.resolve("r2");
        Kit.Proc r1 = Control.start(kit, "r1", a1, kit.tmp.resolve("r1"), "--publisher --epoch 1");
        Control.awaitUp(kit, r1, a1);
        Kit.Proc r2 = Control.start(kit, "r2", a2, folder, "--follow " + Kit.text(a1));
        Control.awaitUp(kit, r2, a2);
        for (int i = 0; i < CALLS; i++) {
            String answer = Control.publish(a1, Control.sections("pool-" + i, SECTIONS), 1, 20_000);
            kit.note("publish " + SECTIONS + " sections, with one confirmation: " + answer);
            if (!answer.startsWith("200 ")) {
                throw new Kit.CouldNotRun("the replica did not confirm in calm");
            }
        }
        if (Kit.TROUBLE) {
            r2.process.destroyForcibly().waitFor();
            kit.note("r2 killed: its machine is lost, and another one takes its place, with an empty folder");
            r2 = Control.start(kit, "r2", a2, kit.tmp.resolve("r2-new"), "--follow " + Kit.text(a1));
            Control.awaitUp(kit, r2, a2);
        }
        long started = Kit.ms();
        boolean synced = Kit.await(WAIT_MS, () -> {
            Kit.sleep(200);
            return Control.version(Control.status(a2)).equals("1." + CALLS);
        });
        kit.note("after " + (Kit.ms() - started) + " ms: r1: " + Control.status(a1));
        kit.note("r2: " + Control.status(a2));
        kit.note("r2's log: " + r2.log().strip());
        return synced ? null : "r2 holds nothing " + WAIT_MS + " ms after its start, beside a publisher that answers";
    }
}
