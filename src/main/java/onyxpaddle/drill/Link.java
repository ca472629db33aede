package onyxpaddle.drill;

import java.util.concurrent.ThreadLocalRandom;
import onyxpaddle.drill.Drill.Cut;

/** The current state of the links from the nodes of one site to the boxes of another. Read by relays, set by the drill. */
public class Link {
    private volatile Cut cut;
    private volatile double size;

    void cut(Cut newCut, double newSize) {
        size = newSize;
        cut = newCut;
    }

    void heal() {
        cut = null;
    }

    /** Whether data in this direction is held back now. */
    public boolean holdsBack(boolean toBox) {
        Cut now = cut;
        return now == Cut.SILENT || now == Cut.SILENT_THEN_RESET || now == Cut.ONE_WAY && toBox;
    }

    public boolean refusesConnections() {
        return cut == Cut.REFUSED;
    }

    /** The delay of data that is sent now, in nanoseconds. */
    long delayNs() {
        return cut != Cut.DELAYED ? 0 : (long) (size * 1e6 * (1 + ThreadLocalRandom.current().nextDouble() / 2));
    }

    /** The transmission time of this many bytes, in nanoseconds; called once per received buffer, in either direction. */
    public long transmissionNs(int bytes) {
        return cut != Cut.SLOW ? 0 : (long) (bytes / (size * 1024) * 1e9);
    }
}
