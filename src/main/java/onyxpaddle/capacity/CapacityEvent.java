package onyxpaddle.capacity;

/** An operating condition under which requirements are measured. */
enum CapacityEvent {
    CALM("calm", "calm"),
    CHANGE("change", "a change of configuration"),
    RESTART("restart", "240 restarts a day"),
    RACK_LOSS("rack-loss", "a rack is lost"),
    ZONE_LOSS_QUARTER("zone-loss-quarter", "a zone is lost (1 in 4)"),
    ZONE_RETURN_QUARTER("zone-back-quarter", "a zone is back (1 in 4)"),
    ZONE_LOSS_EIGHTH("zone-loss-eighth", "a zone is lost (1 in 8)"),
    ZONE_RETURN_EIGHTH("zone-back-eighth", "a zone is back (1 in 8)"),
    REGIONS_PARTITIONED("regions-parted", "the regions are parted"),
    REGIONS_RECONNECTED("regions-joined", "the regions are joined again"),
    COLD_START("cold-start", "everything starts cold"),
    OUTAGE("outage", "the list service is down");

    private final String key;
    private final String title;

    CapacityEvent(String key, String title) {
        this.key = key;
        this.title = title;
    }

    /** The name of the event in result files. */
    String key() {
        return key;
    }

    String title() {
        return title;
    }
}
