package onyxpaddle.admin;

/** What the operators' door asks of the node. On the event loop, and at once. */
public interface AdminOperations {
    /** Whether this process is ready to serve. */
    boolean ready();

    /** The figures, in the text format. */
    String figures();

    /** How each server of each pool stands, as JSON. */
    String servers();

    /** What is announced by BGP and to whom, as JSON; null where nothing is. */
    String bgp();

    /** How sites stand with the node, as JSON; null where it knows of none. */
    String sites();

    /** Holds a site or releases it; false where that can't be. */
    boolean site(String name, boolean hold);

    /** Empties the node; false where that can't be. */
    boolean drain();

    /** Takes a server out by its id, or puts it back; false where no such server is known. */
    boolean takeOut(String server, boolean out);

    /** Back to work; false where that can't be. */
    boolean undrain();
}
