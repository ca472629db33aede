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
 * Merges distributed entries into a node's own configuration: fleet entries first, then those of its service, then those of the
 * node. An entry replaces the section of the same key; an entry whose YAML text is {@code null} removes it. Values that come
 * from an entry carry the entry's key as their place, so that a fault points to the entry: {@code
 * service/booking/pools.records:2:5: pools.records.attempts: ...}. The merged result is validated by the code that reads it as
 * a configuration.
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
     * Returns the configuration with the entries applied; {@code base} is not changed.
     *
     * @param entries at most one per key, in any order; removed entries are ignored
     * @param faults receives entries that cannot be applied, such as text that is not YAML; these are left out of the result
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
     * Orders the faults of a merged configuration, faults in entries before faults in the node's own file: the latter, such as
     * a pool without a route, are often a consequence of the former.
     */
    public static List<Fault> entryFaultsFirst(List<Entry> entries, List<Fault> faults) {
        Set<String> entryKeys = entries.stream().map(entry -> entry.key().toString()).collect(Collectors.toSet());
        return faults.stream().sorted(Comparator.comparing(fault -> !entryKeys.contains(fault.place().file()))).toList();
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
        Value value = parsed instanceof Scalar scalar && scalar.blank() ? null : withPathPrefix(parsed, key.path());
        if (key.sectionName() == null) {
            put(values, keys, key.topKey(), value, place);
        } else {
            applySection(key, value, place);
        }
    }

    private void applySection(EntryKey key, Value value, Place place) {
        Value existing = values.get(key.topKey());
        if (existing != null && !(existing instanceof Mapping) && !(existing instanceof Scalar scalar && scalar.blank())) {
            faults.add(place, key.path(), "`" + key.topKey() + "` is " + existing.kind() + " at " + existing.place()
                + ", which has no named sections", "an entry for all of `" + key.topKey() + "`");
            return;
        }
        if (existing == null && value == null) {
            return;
        }
        Map<String, Value> sections = new LinkedHashMap<>();
        Map<String, Place> sectionPlaces = new LinkedHashMap<>();
        if (existing instanceof Mapping mapping) {
            sections.putAll(mapping.values());
            sectionPlaces.putAll(mapping.keys());
        }
        put(sections, sectionPlaces, key.sectionName(), value, place);
        Place mappingPlace = existing == null ? place : existing.place();
        put(values, keys, key.topKey(), new Mapping(mappingPlace, key.topKey(), sections, sectionPlaces),
            keys.getOrDefault(key.topKey(), place));
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

    /** Copies a value with its path moved below {@code path}. */
    private static Value withPathPrefix(Value value, String path) {
        if (value instanceof Scalar scalar) {
            return new Scalar(scalar.place(), joinPath(path, scalar.path()), scalar.text(), scalar.quoted());
        }
        if (value instanceof Sequence sequence) {
            List<Value> items = new ArrayList<>();
            sequence.items().forEach(item -> items.add(withPathPrefix(item, path)));
            return new Sequence(sequence.place(), joinPath(path, sequence.path()), items);
        }
        Mapping mapping = (Mapping) value;
        Map<String, Value> values = new LinkedHashMap<>();
        mapping.values().forEach((name, child) -> values.put(name, withPathPrefix(child, path)));
        return new Mapping(mapping.place(), joinPath(path, mapping.path()), values, mapping.keys());
    }

    private static String joinPath(String path, String child) {
        return child.isEmpty() || child.startsWith("[") ? path + child : path + "." + child;
    }
}
