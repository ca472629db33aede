package onyxpaddle.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import onyxpaddle.config.Fault;
import onyxpaddle.config.Faults;
import onyxpaddle.config.Place;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.Value.Mapping;
import onyxpaddle.config.Value.Scalar;
import onyxpaddle.config.Value.Sequence;

/**
 * Lays entries over a node's own configuration: those of the fleet first, then those of its service, then its own. An entry puts its
 * section in the place of the one that was there; one whose text is {@code null} takes it away. Places of what comes from an entry name
 * the entry's key, so that a fault leads to it: {@code service/booking/pools.records:2:5: pools.records.attempts: ...}. Whether the
 * result makes sense is checked by whoever reads it as a configuration.
 */
public final class ConfigurationOverlay {
    private final Faults faults;
    private final Map<String, Value> values;
    private final Map<String, Place> keys;

    private ConfigurationOverlay(Mapping base, Faults faults) {
        this.faults = faults;
        values = new LinkedHashMap<>(base.values());
        keys = new LinkedHashMap<>(base.keys());
    }

    /**
     * The tree with the entries laid over it; {@code base} is not changed.
     *
     * @param entries at most one for a key, in any order, without removed ones
     * @param faults where an entry can't be laid over, such as one whose text is not YAML; it is left out of the result then
     */
    public static Value apply(Value base, List<Entry> entries, Faults faults) {
        if (!(base instanceof Mapping mapping)) {
            return base;
        }
        ConfigurationOverlay overlay = new ConfigurationOverlay(mapping, faults);
        entries.stream().filter(entry -> !entry.removed()).sorted(Comparator.comparing(Entry::key)).forEach(overlay::apply);
        return new Mapping(mapping.place(), mapping.path(), overlay.values, overlay.keys);
    }

    /**
     * Faults of a tree with entries laid over it, those first that stand in an entry: a fault in the node's own file, such as a
     * pool that no route leads to, is often but what follows from one.
     */
    public static List<Fault> entryFaultsFirst(List<Entry> entries, List<Fault> faults) {
        Set<String> laid = entries.stream().map(entry -> entry.key().toString()).collect(Collectors.toSet());
        return faults.stream().sorted(Comparator.comparing(fault -> !laid.contains(fault.place().file()))).toList();
    }

    private void apply(Entry entry) {
        EntryKey key = entry.key();
        Place place = new Place(key.toString(), 1, 1);
        if (EntryKey.NODE_LOCAL_KEYS.contains(key.topKey())) {
            faults.add(place, key.path(), "`" + key.topKey() + "` is each node's own", "set it in the node's file");
            return;
        }
        Value parsed = SourceFile.parse(key.toString(), entry.value(), faults);
        if (parsed == null) {
            return;
        }
        Value value = parsed instanceof Scalar scalar && scalar.blank() ? null : below(parsed, key.path());
        if (key.sectionName() == null) {
            put(values, keys, key.topKey(), value, place);
        } else {
            layNamed(key, value, place);
        }
    }

    private void layNamed(EntryKey key, Value value, Place place) {
        Value at = values.get(key.topKey());
        if (at != null && !(at instanceof Mapping) && !(at instanceof Scalar scalar && scalar.blank())) {
            faults.add(place, key.path(), "`" + key.topKey() + "` is " + at.kind() + " at " + at.place() + ", which holds no sections",
                "an entry for all of `" + key.topKey() + "`");
            return;
        }
        if (at == null && value == null) {
            return;
        }
        Map<String, Value> sections = new LinkedHashMap<>();
        Map<String, Place> names = new LinkedHashMap<>();
        if (at instanceof Mapping mapping) {
            sections.putAll(mapping.values());
            names.putAll(mapping.keys());
        }
        put(sections, names, key.sectionName(), value, place);
        Place around = at == null ? place : at.place();
        put(values, keys, key.topKey(), new Mapping(around, key.topKey(), sections, names), keys.getOrDefault(key.topKey(), place));
    }

    private static void put(Map<String, Value> values, Map<String, Place> keys, String name, Value value, Place place) {
        if (value == null) {
            values.remove(name);
            keys.remove(name);
        } else {
            values.put(name, value);
            keys.put(name, place);
        }
    }

    /** The same value as one that lies below a path. */
    private static Value below(Value value, String path) {
        if (value instanceof Scalar scalar) {
            return new Scalar(scalar.place(), joined(path, scalar.path()), scalar.text(), scalar.quoted());
        }
        if (value instanceof Sequence sequence) {
            List<Value> items = new ArrayList<>();
            sequence.items().forEach(item -> items.add(below(item, path)));
            return new Sequence(sequence.place(), joined(path, sequence.path()), items);
        }
        Mapping mapping = (Mapping) value;
        Map<String, Value> values = new LinkedHashMap<>();
        mapping.values().forEach((name, below) -> values.put(name, below(below, path)));
        return new Mapping(mapping.place(), joined(path, mapping.path()), values, mapping.keys());
    }

    private static String joined(String path, String below) {
        return below.isEmpty() || below.startsWith("[") ? path + below : path + "." + below;
    }
}
