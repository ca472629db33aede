package onyxpaddle.socket;

/** Why a connection is not read for now. It is read while none applies. */
public enum ReadPause {
    /** What is made of its input has no room. */
    BACK_PRESSURE,
    /** Input is queued that has to be processed first. */
    QUEUED_INPUT,
    /** Its peer sends more requests than are processed. */
    FLOOD,
    /** Its peer sends in small pieces, which are to coalesce. */
    SMALL_READS,
    /** Its input is costly to decode, and other connections have their turn. */
    TURN_SHARE,
    /** Enough of its input was discarded. */
    DISCARDED
}
