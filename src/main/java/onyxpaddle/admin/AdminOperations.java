package onyxpaddle.admin;

/** The operations that the admin server calls. They run on the event loop and must not block. */
public interface AdminOperations {
    /** Whether this process is ready to serve. */
    boolean ready();

    /** Whether no server is listed, so that requests are refused. */
    boolean withoutServers();

    /** The metrics in the Prometheus text format. */
    String metrics();

    /** The status of each server of each pool, as JSON. */
    String servers();

    /** BGP peers and announced addresses, as JSON; null without BGP. */
    String bgp();

    /** The status of each site, as JSON; null if no pool has sites. */
    String sites();

    /** Holds a site or releases it; false if that is not possible. */
    boolean setSiteHeld(String name, boolean hold);

    /** Drains the node; false if that is not possible. */
    boolean drain();

    /** Disables or enables a server; false if no server has this id. */
    boolean setServerDisabled(String server, boolean disabled);

    /** Ends the drain of the node; false if that is not possible. */
    boolean undrain();
}
