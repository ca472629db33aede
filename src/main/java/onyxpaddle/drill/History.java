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

/** The events of a drill in the order in which they were observed; stored as a file with one JSON object per line. */
public final class History implements AutoCloseable {
    /** About 150 bytes each; a limit, because they are also kept in memory. */
    static final int MAX_EVENTS = 3_000_000;
    private static final JsonFactory JSON = new JsonFactory();

    private final List<Event> events = new ArrayList<>();
    private final List<Consumer<Event>> listeners = new CopyOnWriteArrayList<>();
    private final Writer file;
    private final long startedAt = System.nanoTime();

    /** Writes to {@code file}; if it is null, the history is only kept in memory. */
    History(Path file) throws IOException {
        this.file = file == null ? null : Files.newBufferedWriter(file);
    }

    /** Adds a listener, which is called for each event on the thread that adds the event. */
    void addListener(Consumer<Event> listener) {
        listeners.add(listener);
    }

    /** Appends an event; {@code more} alternates names and values. */
    void add(Type type, String... more) {
        Map<String, String> pairs = new HashMap<>();
        for (int i = 0; i < more.length; i += 2) {
            pairs.put(more[i], more[i + 1]);
        }
        Event event;
        synchronized (this) {
            if (events.size() >= MAX_EVENTS) {
                throw new IllegalStateException("a history holds " + MAX_EVENTS + " events at most; shorten the drill or lower its load");
            }
            event = new Event(events.size() + 1, (System.nanoTime() - startedAt) / 1_000_000, type, pairs);
            events.add(event);
            if (file != null) {
                write(event);
            }
        }
        listeners.forEach(l -> l.accept(event));
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

    /** Reads a history file; an error names the line. */
    public static List<Event> read(Path path) throws IOException {
        List<Event> events = new ArrayList<>();
        try (BufferedReader lines = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                int number = events.size() + 1;
                if (number > MAX_EVENTS) {
                    throw new IOException(path + ":" + number + ": more than " + MAX_EVENTS + " lines; give the history of one drill");
                }
                Event event;
                try {
                    event = event(line);
                } catch (IOException | IllegalArgumentException e) {
                    throw new IOException(path + ":" + number + ": is not a line of a history: "
                        + String.valueOf(e.getMessage()).lines().findFirst().orElse("")
                        + "; give a file that `drill run --history` wrote");
                }
                if (event.n() != number) {
                    throw new IOException(path + ":" + number + ": n: is " + event.n()
                        + ", so lines are missing or repeated; give the file as it was written");
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
                    throw new IOException(name + " is not a scalar value");
                }
                pairs.put(name, p.getText());
            }
        }
        for (String required : List.of("n", "ms", "what")) {
            if (!pairs.containsKey(required)) {
                throw new IOException("missing field " + required);
            }
        }
        long n = Long.parseLong(pairs.remove("n"));
        long ms = Long.parseLong(pairs.remove("ms"));
        return new Event(n, ms, Type.valueOf(pairs.remove("what").toUpperCase(Locale.ROOT)), pairs);
    }
}
