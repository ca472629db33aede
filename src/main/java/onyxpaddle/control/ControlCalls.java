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
import onyxpaddle.control.ControlConnection.Calls;
import onyxpaddle.control.Publisher.Asked;
import onyxpaddle.control.ServedConfiguration.NotNow;
import onyxpaddle.control.ServedConfiguration.Reply;
import onyxpaddle.control.ServedConfiguration.Tell;
import onyxpaddle.control.WaitingCalls.Waiting;
import onyxpaddle.distribution.UpdateJson;
import onyxpaddle.node.Log;

/** What a control process is called for. All on its event loop. */
final class ControlCalls implements Calls {
    /** Bodies that are held at once: each of {@link ChangeJson#MAX_BYTES} at most. */
    private static final int MOST_BODIES = 8;
    private static final int MOST_ACKS = Reports.MOST_FOLLOWERS;
    private static final int USUAL_ACK_WAIT_MS = 5_000;

    private final ControlSettings settings;
    private final EventLoop loop;
    private final DiskThread disk;
    private final StateStore store;
    private final ServedConfiguration served;
    private final LongSupplier clock;
    private final Reports reports = new Reports();
    private final WaitingCalls waiting = new WaitingCalls();
    private final Publisher publisher;
    private int bodies;

    /** @param clock nanoseconds that do not go back */
    ControlCalls(ControlSettings settings, EventLoop loop, DiskThread disk, StateStore store, ServedConfiguration served, LongSupplier clock) {
        this.settings = settings;
        this.loop = loop;
        this.disk = disk;
        this.store = store;
        this.served = served;
        this.clock = clock;
        publisher = settings.publisher() ? new Publisher(settings.epoch(), loop, disk, store, served, reports, this::news) : null;
    }

    @Override
    public void call(ControlConnection connection, HttpMethod method, String uri, byte[] body) {
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        HttpMethod fitting = path.equals("/v1/changes") ? HttpMethod.POST : HttpMethod.GET;
        if (!List.of("/v1/configuration", "/v1/changes", "/v1/status").contains(path)) {
            connection.answer(Answer.refused(Answer.NOT_FOUND, "/v1/configuration, /v1/changes or /v1/status"));
        } else if (!method.equals(fitting)) {
            connection.answer(Answer.refused(Answer.NO_SUCH_METHOD, path + " is called by " + fitting));
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
            reports.hear(request, now);
        }
        boolean higher = served.hear(request.after()) | served.hear(request.inForce());
        if (higher) {
            keepEpoch();
        }
        if (publisher != null) {
            publisher.heard();
        }
        Reply reply = served.reply(request, request.waitMs() > 0, now);
        if (reply instanceof ServedConfiguration.Wait) {
            Future<?> end = loop.schedule(() -> ended(connection, request), request.waitMs(), TimeUnit.MILLISECONDS);
            waiting.add(new Waiting(connection, request, end));
        } else {
            connection.answer(answer(reply));
        }
    }

    private static Answer answer(Reply reply) {
        return reply instanceof Tell tell ? Answer.ok(UpdateJson.write(tell.update()))
            : reply instanceof NotNow later ? Answer.busy(later.why(), later.waitNanos()) : null;
    }

    private void ended(ControlConnection connection, ConfigurationRequest request) {
        waiting.remove(connection);
        connection.answer(answer(served.reply(request, false, clock.getAsLong())));
    }

    /** There is something new to tell: looks at all that wait, in one pass. */
    void news() {
        long now = clock.getAsLong();
        waiting.each(call -> {
            Reply reply = served.reply(call.request(), true, now);
            if (!(reply instanceof ServedConfiguration.Wait)) {
                waiting.remove(call.connection());
                call.connection().answer(answer(reply));
            }
        });
    }

    /** Answers all that wait, as the process ends. */
    void endWaiting() {
        waiting.each(call -> ended(call.connection(), call.request()));
    }

    private void keepEpoch() {
        long epoch = served.highestEpoch();
        Log.line("control: heard of epoch " + epoch);
        boolean taken = disk.run(() -> {
            try {
                store.writeEpoch(epoch);
            } catch (IOException e) {
                Log.line("control: epoch " + epoch + " is not kept: " + e);
            }
        });
        if (!taken) {
            Log.line("control: epoch " + epoch + " is not kept: too much waits for the disk");
        }
    }

    // ---- changes ----

    private void changes(ControlConnection connection, String uri, byte[] body) throws BadRequestException {
        if (publisher == null) {
            connection.answer(Answer.refused(Answer.NOT_THE_PUBLISHER, "this is a replica; changes go to the publisher"));
            return;
        }
        publisher.publish(body, new Asked(parameter(uri, "acks", 0, MOST_ACKS),
            parameter(uri, "wait_ms", USUAL_ACK_WAIT_MS, Asked.LONGEST_WAIT_MS)), connection::answer);
    }

    private static int parameter(String uri, String name, int usual, int most) throws BadRequestException {
        Map<String, List<String>> query = new QueryStringDecoder(uri).parameters();
        String text = query.getOrDefault(name, List.of(Integer.toString(usual))).get(0);
        if (!text.matches("[0-9]{1,9}") || Integer.parseInt(text) > most) {
            throw new BadRequestException("`" + name + "` is to be a whole number from 0 to " + most);
        }
        return Integer.parseInt(text);
    }

    // ---- status ----

    private Status status() {
        long now = clock.getAsLong();
        return new Status(settings.id(), settings.publisher(), served.stopped(), served.version(), served.staleMs(now),
            waiting.count(), reports.followers(now), reports.nodes(now));
    }

    // ---- bounds ----

    @Override
    public boolean openBody() {
        if (bodies == MOST_BODIES) {
            return false;
        }
        bodies++;
        return true;
    }

    @Override
    public void closeBody() {
        bodies--;
    }

    @Override
    public void ended(ControlConnection connection) {
        waiting.remove(connection);
    }
}
