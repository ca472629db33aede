package onyxpaddle.config;

/**
 * The resources of a machine, against which configured limits are checked; 0 where unknown.
 *
 * @param descriptors the number of file descriptors that a process may have open
 * @param memory total memory in bytes
 */
public record MachineLimits(long descriptors, long memory) {
    public static final MachineLimits UNKNOWN = new MachineLimits(0, 0);

    /** Reads the limits of the machine that this process runs on. */
    public static MachineLimits ofThisMachine() {
        java.lang.management.OperatingSystemMXBean os =
            java.lang.management.ManagementFactory.getOperatingSystemMXBean();
        return os instanceof com.sun.management.UnixOperatingSystemMXBean unix
            ? new MachineLimits(unix.getMaxFileDescriptorCount(), unix.getTotalMemorySize()) : UNKNOWN;
    }

    /** Adds a fault for each configured limit that exceeds the machine's. */
    public void check(ConfigView limits, NodeConfig.Limits wanted, Faults faults) {
        if (descriptors > 0 && wanted.descriptors() > descriptors) {
            faults.add(limits.place("descriptors"), limits.path("descriptors"), wanted.descriptors()
                + " descriptors where a process on this machine may have " + descriptors,
                "at most " + descriptors + ", or raise the limit (`ulimit -n`)");
        }
        if (memory > 0 && wanted.memory() > memory) {
            faults.add(limits.place("memory"), limits.path("memory"), Units.formatSize(wanted.memory())
                + " where the machine has " + (memory >> 20) + " MiB in all", "less than the machine has");
        }
    }
}
