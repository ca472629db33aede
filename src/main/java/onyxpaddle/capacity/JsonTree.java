package onyxpaddle.capacity;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.config.Faults;
import onyxpaddle.config.Place;
import onyxpaddle.config.Value;

/** Parses a JSON document into a tree of values with their positions in the file. */
final class JsonTree {
    private static final int MAX_DEPTH = 20;
    private static final JsonFactory JSON = new JsonFactory();
    private static final String EXPECTED = "a file written by `bin/measure NAME --json FILE`";

    private final String file;
    private final JsonParser parser;

    private JsonTree(String file, JsonParser parser) {
        this.file = file;
        this.parser = parser;
    }

    /** Parses a text; returns null and adds the reason to the faults if it is invalid. {@code file} is the file name used in positions. */
    static Value parse(String file, String text, Faults faults) {
        try (JsonParser parser = JSON.createParser(text)) {
            parser.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
            JsonTree tree = new JsonTree(file, parser);
            if (parser.nextToken() == null) {
                faults.add(Place.of(file), "", "is empty", EXPECTED);
                return null;
            }
            Value value = tree.value("", 0);
            if (parser.nextToken() != null) {
                faults.add(tree.place(), "", "has content after its end", EXPECTED);
                return null;
            }
            return value;
        } catch (JsonProcessingException e) {
            JsonLocation position = e.getLocation();
            Place place = position == null ? Place.of(file) : new Place(file, position.getLineNr(), position.getColumnNr());
            faults.add(place, "", "is not JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""), EXPECTED);
        } catch (IOException e) {
            faults.add(Place.of(file), "", "cannot be read: " + e.getMessage(), EXPECTED);
        }
        return null;
    }

    private Place place() {
        JsonLocation position = parser.currentTokenLocation();
        return new Place(file, position.getLineNr(), position.getColumnNr());
    }

    private Value value(String path, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new com.fasterxml.jackson.core.JsonParseException(parser, "nested more than " + MAX_DEPTH + " levels deep");
        }
        Place place = place();
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(place, path, depth);
            case START_ARRAY -> array(place, path, depth);
            case VALUE_STRING -> new Value.Scalar(place, path, parser.getText(), true);
            default -> new Value.Scalar(place, path, parser.getText(), false);
        };
    }

    private Value object(Place place, String path, int depth) throws IOException {
        Map<String, Value> values = new LinkedHashMap<>();
        Map<String, Place> keys = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            keys.put(name, place());
            parser.nextToken();
            values.put(name, value(path.isEmpty() ? name : path + "." + name, depth + 1));
        }
        return new Value.Mapping(place, path, values, keys);
    }

    private Value array(Place place, String path, int depth) throws IOException {
        List<Value> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(value(path + "[" + items.size() + "]", depth + 1));
        }
        return new Value.Sequence(place, path, items);
    }
}
