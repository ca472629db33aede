package onyxpaddle.scale;

/** A part of a scale run: it plays something and adds what it measured to the result. */
interface ScaleScenario {
    /** Plays it; processes that it starts end with it. */
    void run(ScaleResult result) throws Exception;
}
