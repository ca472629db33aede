package onyxpaddle.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.BitSet;
import java.util.List;

/**
 * How many cores were free for a measurement: those that it may run on, less what other processes used of them meanwhile.
 * Read from {@code /proc} (Linux) at the begin and at the end.
 */
public final class OpenLoadCores {
    /** Of {@code /proc/stat} and {@code /proc/PID/stat}: 100 a second on every usual Linux. */
    private static final double TICKS_PER_SECOND = 100;
    private static final double NANOS_PER_SECOND = 1e9;

    private final BitSet allowed = allowed();
    private final List<Long> own;
    private final long beginNanos = System.nanoTime();
    private final long beginBusy = busyTicks();
    private final long beginOwn;

    /** Begins now; {@code own}: the process ids of the measurement. */
    public OpenLoadCores(List<Long> own) throws IOException {
        this.own = own;
        this.beginOwn = ownTicks();
    }

    /** Cores that the measurement may run on. */
    public int count() {
        return allowed.cardinality();
    }

    /** Of these, how many were on the mean used by other processes since the begin. */
    public double usedByOthers() throws IOException {
        double seconds = (System.nanoTime() - beginNanos) / NANOS_PER_SECOND;
        double others = (busyTicks() - beginBusy - (ownTicks() - beginOwn)) / TICKS_PER_SECOND;
        return seconds == 0 ? 0 : Math.max(0, others / seconds);
    }

    private long ownTicks() throws IOException {
        long ticks = 0;
        for (long pid : own) {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            // The command's name, in brackets, may hold blanks; user and system time are the 14th and 15th field.
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            ticks += Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        }
        return ticks;
    }

    private long busyTicks() throws IOException {
        long ticks = 0;
        for (String line : Files.readAllLines(Path.of("/proc/stat"))) {
            String[] fields = line.split(" +");
            if (fields[0].matches("cpu[0-9]+") && allowed.get(Integer.parseInt(fields[0].substring(3)))) {
                // user, nice, system, then idle and waiting, which don't count, then irq, softirq and stolen
                ticks += Long.parseLong(fields[1]) + Long.parseLong(fields[2]) + Long.parseLong(fields[3])
                    + Long.parseLong(fields[6]) + Long.parseLong(fields[7]) + Long.parseLong(fields[8]);
            }
        }
        return ticks;
    }

    private static BitSet allowed() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
            if (line.startsWith("Cpus_allowed_list:")) {
                return cores(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        throw new IOException("/proc/self/status does not say which cores may be used");
    }

    /** Reads a list as the kernel writes it: {@code 0-3,6}. */
    static BitSet cores(String list) {
        BitSet cores = new BitSet();
        for (String part : list.split(",")) {
            String[] ends = part.split("-");
            cores.set(Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]) + 1);
        }
        return cores;
    }
}
