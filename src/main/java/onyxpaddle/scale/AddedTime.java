package onyxpaddle.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures what a path adds to a call under open load: blocks of straight calls and of calls through the path alternate, with the
 * same arrivals in both blocks of a round, over connections that stay open. Runs on the caller's thread, which never sleeps.
 */
public final class AddedTime implements AutoCloseable {
    /** More than are ever open at once at the rates of interest, unless something stalls. */
    private static final int CONNECTIONS = 16;

    /**
     * What to run.
     *
     * @param perSecond mean rate of calls
     * @param rounds pairs of blocks, two at least
     * @param blockNanos length of a block
     * @param seed of the arrivals
     */
    public record Plan(double perSecond, int rounds, long blockNanos, long seed) {
    }

    private final OpenLoad straight;
    private final OpenLoad through;

    /** {@code straight}, {@code through}: where to call; the same server answers at the end of both. */
    public AddedTime(InetSocketAddress straight, InetSocketAddress through) {
        this.straight = new OpenLoad(() -> new OpenLoadSocket(straight), CONNECTIONS, System::nanoTime);
        this.through = new OpenLoad(() -> new OpenLoadSocket(through), CONNECTIONS, System::nanoTime);
    }

    /** Runs a plan and forgets its times: compilers and caches are as they will be. */
    public void warmUp(Plan plan) throws IOException {
        measure(plan, straight, through);
    }

    /** Runs a plan. */
    public AddedTimeReport measure(Plan plan) throws IOException {
        return measure(plan, straight, through);
    }

    /** As the other, over connections and by clocks that are handed in. */
    static AddedTimeReport measure(Plan plan, OpenLoad straight, OpenLoad through) throws IOException {
        List<AddedTimeReport.Round> rounds = new ArrayList<>();
        for (int i = 0; i < plan.rounds(); i++) {
            long[] due = OpenLoadSchedule.poisson(plan.perSecond(), plan.blockNanos(), plan.seed() + i);
            OpenLoadResult without = straight.run(due);
            OpenLoadResult with = through.run(due);
            rounds.add(new AddedTimeReport.Round(without, with));
        }
        return new AddedTimeReport(plan.perSecond(), rounds);
    }

    @Override
    public void close() throws IOException {
        straight.close();
        through.close();
    }
}
