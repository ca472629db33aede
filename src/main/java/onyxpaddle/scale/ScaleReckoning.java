package onyxpaddle.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a run needs at the most, reckoned before it starts: what does not fit is refused with a sentence.
 *
 * @param processes all of the run, its harness too
 * @param memoryMiB resident, in all
 * @param descriptors of the process that holds the most
 */
record ScaleReckoning(int processes, long memoryMiB, long descriptors) {
    /** What a run may take. */
    static final int MOST_PROCESSES = 300;
    static final long MOST_MEMORY_MIB = 12 << 10;
    /** Heaps of the run's own processes, in MiB. */
    static final int LIST_HEAP = 256;
    static final int HOLLOW_HEAP = 768;
    /** Hollow nodes in one process. */
    static final int HOLLOW_NODES = 460;
    /** A JVM's memory beside its heap, for some threads. */
    private static final int BESIDE_HEAP = 128;
    private static final int HARNESS = 256 + BESIDE_HEAP;
    /** A control process's: 64 MB of heap, and its classes. */
    private static final int CONTROL = 160;
    /** A real node's: 24 MB of buffers and 48 MB of heap at the most, and its classes. */
    private static final int REAL = 120;
    /** Files and sockets of a JVM that serves nobody. */
    private static final int USUAL_DESCRIPTORS = 200;

    /** Of that size, with so many real nodes beside the hollow ones. */
    static ScaleReckoning of(ScaleSize size, int realNodes) {
        int hollow = hollowProcesses(size);
        int lists = realNodes > 0 ? 2 : 1;
        long watches = (long) size.largest() * FleetLayout.MEAN_SERVICES * 2;
        return new ScaleReckoning(1 + 2 * hollow + ConfigurationByControl.PROCESSES + lists + realNodes,
            HARNESS + 2L * hollow * (HOLLOW_HEAP + BESIDE_HEAP) + (long) ConfigurationByControl.PROCESSES * CONTROL + (long) lists * (LIST_HEAP + BESIDE_HEAP) + (long) realNodes * REAL, 2 * watches + USUAL_DESCRIPTORS);
    }

    static int hollowProcesses(ScaleSize size) {
        return (size.largest() + HOLLOW_NODES - 1) / HOLLOW_NODES;
    }

    /** What of it does not fit, as a sentence; null where all does. {@code freeMiB}, {@code openFiles}: what the machine has, 0 for unknown. */
    String refusal(long freeMiB, long openFiles) {
        if (processes > MOST_PROCESSES) {
            return "it would start " + processes + " processes, and may start " + MOST_PROCESSES;
        }
        if (memoryMiB > MOST_MEMORY_MIB) {
            return "it would take " + memoryMiB + " MiB of memory, and may take " + MOST_MEMORY_MIB;
        }
        if (freeMiB > 0 && memoryMiB > freeMiB) {
            return "it would take " + memoryMiB + " MiB of memory, and the machine has " + freeMiB + " free";
        }
        if (openFiles > 0 && descriptors > openFiles) {
            return "one of its processes would open " + descriptors + " files and sockets, and may open " + openFiles;
        }
        return null;
    }

    /** Memory that the machine has free, in MiB; 0 where it isn't known. */
    static long freeMiB() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
            if (line.startsWith("MemAvailable:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
            }
        }
        return 0;
    }
}
