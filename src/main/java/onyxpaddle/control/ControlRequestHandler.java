package onyxpaddle.control;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import onyxpaddle.control.ControlConnection.RequestHandler;
import onyxpaddle.control.PendingLongPolls.LongPoll;
import onyxpaddle.control.Publisher.AckRequirement;
import onyxpaddle.control.ServedConfiguration.Deliver;
import onyxpaddle.control.ServedConfiguration.Reply;
import onyxpaddle.control.ServedConfiguration.RetryLater;
import onyxpaddle.distribution.UpdateJson;
import onyxpaddle.node.Log;

/** Serves the HTTP API of a control process. Runs on its event loop only. */
final class ControlRequestHandler implements RequestHandler {
    /** Request bodies buffered at once, each of at most {@link ChangeJson#MAX_BYTES}. */
    private static final int MAX_BUFFERED_BODIES = 8;
    private static final int MAX_ACKS = Reports.MAX_FOLLOWERS;
    private static final int DEFAULT_ACK_WAIT_MS = 5_000;

    private final ControlSettings settings;
    private final EventLoop loop;
    private final DiskThread disk;
    private final StateStore store;
    private final ServedConfiguration served;
    private final LongSupplier clock;
    private final Reports reports = new Reports();
    private final PendingLongPolls longPolls = new PendingLongPolls();
    private final Publisher publisher;
    private int bufferedBodies;

    /** @param clock monotonic, in nanoseconds */
    ControlRequestHandler(ControlSettings settings, EventLoop loop, DiskThread disk, StateStore store, ServedConfiguration served,
            LongSupplier clock) {
        this.settings = settings;
        this.loop = loop;
        this.disk = disk;
        this.store = store;
        this.served = served;
        this.clock = clock;
        publisher = settings.publisher() ? new Publisher(settings.epoch(), loop, disk, store, served, reports, this::onUpdate) : null;
    }

    @Override
    public void handle(ControlConnection connection, HttpMethod method, String uri, byte[] body) {
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        HttpMethod expectedMethod = path.equals("/v1/changes") ? HttpMethod.POST : HttpMethod.GET;
        if (!List.of("/v1/configuration", "/v1/changes", "/v1/status").contains(path)) {
            connection.answer(Answer.refused(Answer.NOT_FOUND, "unknown path; expected /v1/configuration, /v1/changes or /v1/status"));
        } else if (!method.equals(expectedMethod)) {
            connection.answer(Answer.refused(Answer.METHOD_NOT_ALLOWED, path + " accepts only " + expectedMethod));
        } else {
            try {
                switch (path) {
                    case "/v1/configuration" -> configuration(connection, ConfigurationRequest.parse(uri));
                    case "/v1/changes" -> changes(connection, uri, body);
                    default -> connection.answer(Answer.ok(StatusJson.write(status())));
                }
            } catch (BadRequestException e) {
                connection.answer(Answer.refused(Answer.BAD_REQUEST, e.getMessage()));
            }
        }
    }

    // ---- configuration ----

    private void configuration(ControlConnection connection, ConfigurationRequest request) {
        long now = clock.getAsLong();
        if (!settings.id().equals(request.replica())) {
            reports.update(request, now);
        }
        boolean higherEpoch = served.observe(request.after()) | served.observe(request.inForce());
        if (higherEpoch) {
            persistEpoch();
        }
        if (publisher != null) {
            publisher.onReport();
        }
        Reply reply = served.reply(request, request.waitMs() > 0, now);
        if (reply instanceof ServedConfiguration.Wait) {
            Future<?> timeout = loop.schedule(() -> answerWithoutWaiting(connection, request), request.waitMs(), TimeUnit.MILLISECONDS);
            longPolls.add(new LongPoll(connection, request, timeout));
        } else {
            connection.answer(answer(reply));
        }
    }

    private static Answer answer(Reply reply) {
        return reply instanceof Deliver tell ? Answer.ok(UpdateJson.write(tell.update()))
            : reply instanceof RetryLater retry ? Answer.busy(retry.reason(), retry.waitNanos()) : null;
    }

    private void answerWithoutWaiting(ControlConnection connection, ConfigurationRequest request) {
        longPolls.remove(connection);
        connection.answer(answer(served.reply(request, false, clock.getAsLong())));
    }

    /** Called when a new version can be served: re-evaluates every pending long poll in one pass. */
    void onUpdate() {
        long now = clock.getAsLong();
        longPolls.forEach(poll -> {
            Reply reply = served.reply(poll.request(), true, now);
            if (!(reply instanceof ServedConfiguration.Wait)) {
                longPolls.remove(poll.connection());
                poll.connection().answer(answer(reply));
            }
        });
    }

    /** Answers every pending long poll at shutdown. */
    void answerAllWaiting() {
        longPolls.forEach(poll -> answerWithoutWaiting(poll.connection(), poll.request()));
    }

    private void persistEpoch() {
        long epoch = served.highestEpoch();
        Log.line("control: learned of epoch " + epoch);
        boolean queued = disk.tryExecute(() -> {
            try {
                store.writeEpoch(epoch);
            } catch (IOException e) {
                Log.line("control: cannot persist epoch " + epoch + ": " + e);
            }
        });
        if (!queued) {
            Log.line("control: cannot persist epoch " + epoch + ": the disk queue is full");
        }
    }

    // ---- changes ----

    private void changes(ControlConnection connection, String uri, byte[] body) throws BadRequestException {
        if (publisher == null) {
            connection.answer(Answer.refused(Answer.MISDIRECTED, "this process is a replica; send changes to the publisher"));
            return;
        }
        publisher.publish(body, new AckRequirement(parameter(uri, "acks", 0, MAX_ACKS),
            parameter(uri, "wait_ms", DEFAULT_ACK_WAIT_MS, AckRequirement.MAX_WAIT_MS)), connection::answer);
    }

    private static int parameter(String uri, String name, int defaultValue, int max) throws BadRequestException {
        Map<String, List<String>> query = new QueryStringDecoder(uri).parameters();
        String text = query.getOrDefault(name, List.of(Integer.toString(defaultValue))).get(0);
        if (!text.matches("[0-9]{1,9}") || Integer.parseInt(text) > max) {
            throw new BadRequestException("`" + name + "` must be an integer from 0 to " + max);
        }
        return Integer.parseInt(text);
    }

    // ---- status ----

    private Status status() {
        long now = clock.getAsLong();
        return new Status(settings.id(), settings.publisher(), served.publishingStopped(), served.version(), served.staleMs(now),
            longPolls.count(), reports.followers(now), reports.nodes(now));
    }

    // ---- connections ----

    @Override
    public boolean tryAcquireBody() {
        if (bufferedBodies == MAX_BUFFERED_BODIES) {
            return false;
        }
        bufferedBodies++;
        return true;
    }

    @Override
    public void releaseBody() {
        bufferedBodies--;
    }

    @Override
    public void onDisconnect(ControlConnection connection) {
        longPolls.remove(connection);
    }
}
