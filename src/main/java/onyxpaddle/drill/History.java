package onyxpaddle.drill;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import onyxpaddle.drill.Event.Type;

/** All that happened in a drill, in the order in which the drill saw it; a file of one JSON object a line. */
public final class History implements AutoCloseable {
    /** Some 150 bytes each: what is kept in memory, too. */
    static final int MOST = 3_000_000;
    private static final JsonFactory JSON = new JsonFactory();

    private final List<Event> events = new ArrayList<>();
    private final List<Consumer<Event>> watchers = new CopyOnWriteArrayList<>();
    private final Writer file;
    private final long begin = System.nanoTime();

    /** {@code file}: null for one that is kept in memory alone. */
    History(Path file) throws IOException {
        this.file = file == null ? null : Files.newBufferedWriter(file);
    }

    /** Told each event, on the thread on which it happens. */
    void watch(Consumer<Event> watcher) {
        watchers.add(watcher);
    }

    /** Writes an event down; {@code more}: names and values in turn. */
    void add(Type type, String... more) {
        Map<String, String> pairs = new HashMap<>();
        for (int i = 0; i < more.length; i += 2) {
            pairs.put(more[i], more[i + 1]);
        }
        Event event;
        synchronized (this) {
            if (events.size() >= MOST) {
                throw new IllegalStateException("a history holds " + MOST + " events at most: a shorter drill, or less load");
            }
            event = new Event(events.size() + 1, (System.nanoTime() - begin) / 1_000_000, type, pairs);
            events.add(event);
            if (file != null) {
                write(event);
            }
        }
        watchers.forEach(w -> w.accept(event));
    }

    private void write(Event event) {
        try {
            JsonGenerator json = JSON.createGenerator(file).disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            json.writeStartObject();
            json.writeNumberField("n", event.n());
            json.writeNumberField("ms", event.ms());
            json.writeStringField("what", event.type().name().toLowerCase(Locale.ROOT));
            for (Map.Entry<String, String> pair : new java.util.TreeMap<>(event.more()).entrySet()) {
                json.writeStringField(pair.getKey(), pair.getValue());
            }
            json.writeEndObject();
            json.close();
            file.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized List<Event> events() {
        return List.copyOf(events);
    }

    @Override
    public synchronized void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }

    /** A history that was written before; an error names the line. */
    public static List<Event> read(Path path) throws IOException {
        List<Event> events = new ArrayList<>();
        try (BufferedReader lines = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                int number = events.size() + 1;
                if (number > MOST) {
                    throw new IOException(path + ":" + number + ": more than " + MOST + " lines; give the history of one drill");
                }
                Event event;
                try {
                    event = event(line);
                } catch (IOException | IllegalArgumentException e) {
                    throw new IOException(path + ":" + number + ": is no line of a history: " + String.valueOf(e.getMessage()).lines().findFirst().orElse("")
                        + "; give a file that `drill run --history` wrote");
                }
                if (event.n() != number) {
                    throw new IOException(path + ":" + number + ": n: is " + event.n() + ", so lines are missing or twice; give the file as it was written");
                }
                events.add(event);
            }
        }
        return events;
    }

    private static Event event(String line) throws IOException {
        Map<String, String> pairs = new HashMap<>();
        try (JsonParser p = JSON.createParser(line)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not an object");
            }
            while (p.nextToken() != JsonToken.END_OBJECT) {
                String name = p.currentName();
                if (!p.nextToken().isScalarValue()) {
                    throw new IOException(name + " is no plain value");
                }
                pairs.put(name, p.getText());
            }
        }
        for (String needed : List.of("n", "ms", "what")) {
            if (!pairs.containsKey(needed)) {
                throw new IOException("no " + needed);
            }
        }
        long n = Long.parseLong(pairs.remove("n"));
        long ms = Long.parseLong(pairs.remove("ms"));
        return new Event(n, ms, Type.valueOf(pairs.remove("what").toUpperCase(Locale.ROOT)), pairs);
    }
}
