package onyxpaddle.capacity;

import java.util.List;

/** A resource, and the names that results may use for it; the first one present is used. */
enum CapacityColumn {
    STATE("State", List.of("state")),
    CALLS("Messages a second", List.of("calls")),
    MOST_CALLS("Most in one second", List.of("mostCalls")),
    BYTES_IN("Bytes in a second", List.of("bytesIn")),
    BYTES_OUT("Bytes out a second", List.of("bytesOut", "readBytes")),
    BYTES("Bytes in and out a second", List.of()),
    WORST_8S("Most bytes in 8 s", List.of("worst8s")),
    PROCESSOR("Processor time", List.of("cpuControl", "cpu", "readCpuSeconds")),
    MEMORY("Memory", List.of("memoryControl", "memory")),
    PROPAGATION_TIME("Until the last has it", List.of("lastCurrent", "changeSeconds")),
    ADDED("Added for 99 in 100 calls", List.of());

    private final String title;
    private final List<String> quantities;

    CapacityColumn(String title, List<String> quantities) {
        this.title = title;
        this.quantities = quantities;
    }

    String title() {
        return title;
    }

    List<String> quantities() {
        return quantities;
    }
}
