package onyxpaddle.capacity;

/** When it is needed. */
enum CapacityEvent {
    CALM("calm", "calm"),
    CHANGE("change", "a change of configuration"),
    RESTART("restart", "240 restarts a day"),
    RACK_LOSS("rack-loss", "a rack is lost"),
    ZONE_LOSS_QUARTER("zone-loss-quarter", "a zone is lost (1 in 4)"),
    ZONE_BACK_QUARTER("zone-back-quarter", "a zone is back (1 in 4)"),
    ZONE_LOSS_EIGHTH("zone-loss-eighth", "a zone is lost (1 in 8)"),
    ZONE_BACK_EIGHTH("zone-back-eighth", "a zone is back (1 in 8)"),
    REGIONS_PARTED("regions-parted", "the regions are parted"),
    REGIONS_JOINED("regions-joined", "the regions are joined again"),
    COLD_START("cold-start", "everything starts cold"),
    OUTAGE("outage", "the list service is down");

    private final String key;
    private final String title;

    CapacityEvent(String key, String title) {
        this.key = key;
        this.title = title;
    }

    /** As results name it. */
    String key() {
        return key;
    }

    String title() {
        return title;
    }
}
