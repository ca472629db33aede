package onyxpaddle.drill;

import java.util.concurrent.ThreadLocalRandom;
import onyxpaddle.drill.Drill.Cut;

/** What the links from the nodes of one site to the boxes of another do now. Read by relays, set by the schedule. */
public class Link {
    private volatile Cut cut;
    private volatile double size;

    void cut(Cut how, double howMuch) {
        size = howMuch;
        cut = how;
    }

    void heal() {
        cut = null;
    }

    /** Whether bytes of that direction are held back now. */
    public boolean holdsBack(boolean toBox) {
        Cut now = cut;
        return now == Cut.SILENT || now == Cut.SILENT_THEN_RESET || now == Cut.ONE_WAY && toBox;
    }

    /** Whether connections are refused now. */
    public boolean refusesConnections() {
        return cut == Cut.REFUSED;
    }

    /** How much later bytes come that set out now, in nanoseconds. */
    long delay() {
        return cut != Cut.DELAYED ? 0 : (long) (size * 1e6 * (1 + ThreadLocalRandom.current().nextDouble() / 2));
    }

    /** How long so many bytes take, in nanoseconds; asked once for each piece that comes, in either direction. */
    public long transmissionNs(int bytes) {
        return cut != Cut.SLOW ? 0 : (long) (bytes / (size * 1024) * 1e9);
    }
}
