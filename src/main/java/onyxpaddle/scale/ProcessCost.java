package onyxpaddle.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** What processes have used, by the system's own counts (Linux: {@code /proc}). */
final class ProcessCost {
    /** A compiler thread that ends takes its processor time out of the sum over threads, so the processes that are measured keep theirs. */
    static final String KEEP_COMPILERS = "-XX:-UseDynamicNumberOfCompilerThreads";

    private ProcessCost() {
    }

    /** Processor time of this process's living threads, in nanoseconds. */
    static long ownCpuNanos() throws IOException {
        return cpuNanos(ProcessHandle.current().pid());
    }

    /** Bytes of this process's heap that are in use once all garbage is collected. */
    static long ownLiveHeap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /**
     * Processor time of the living threads of a process, in nanoseconds: finer than the ticks of {@code /proc/PID/stat}. A thread that
     * ended takes its time along, so it serves for windows in which none ends.
     */
    static long cpuNanos(long pid) throws IOException {
        long sum = 0;
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path thread : threads) {
                sum += onCpu(thread.resolve("schedstat"));
            }
        }
        return sum;
    }

    private static long onCpu(Path schedstat) throws IOException {
        try {
            return Long.parseLong(Files.readString(schedstat).split(" ")[0]);
        } catch (NoSuchFileException e) {
            return 0;
        }
    }

    /** Bytes that a process has read and written by system calls so far, of sockets and files. */
    static long transferred(long pid) throws IOException {
        long sum = 0;
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/io"))) {
            if (line.startsWith("rchar:") || line.startsWith("wchar:")) {
                sum += Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return sum;
    }

    /** Resident memory now, in bytes; 0 where the process has ended. */
    static long resident(long pid) throws IOException {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
                }
            }
            return 0;
        } catch (NoSuchFileException e) {
            return 0;
        }
    }
}
