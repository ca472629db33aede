package onyxpaddle.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The procedures of one listener. A full name takes precedence over prefixes, and a longer prefix over shorter ones. A call that
 * matches none is not routed.
 */
public final class ProcedureTable {
    private final Map<String, Procedure> exact = new HashMap<>();
    /** Prefix patterns, by prefix. */
    private final TreeMap<String, Procedure> prefixes = new TreeMap<>();
    private final List<Procedure> all;

    public ProcedureTable(List<Procedure> procedures) {
        all = List.copyOf(procedures);
        for (Procedure p : procedures) {
            if (p.isPrefix()) {
                prefixes.put(p.prefix(), p);
            } else {
                exact.put(p.pattern(), p);
            }
        }
    }

    public List<Procedure> procedures() {
        return all;
    }

    /** The matching entry for a call; null for none. */
    public Procedure find(String procedure) {
        Procedure found = exact.get(procedure);
        String key = procedure;
        while (found == null && key != null) {
            Map.Entry<String, Procedure> floor = prefixes.floorEntry(key);
            if (floor == null || procedure.startsWith(floor.getKey())) {
                return floor == null ? null : floor.getValue();
            }
            // Any matching prefix that sorts lower is a prefix of what the two have in common.
            key = commonPrefix(floor.getKey(), key);
        }
        return found;
    }

    private static String commonPrefix(String a, String b) {
        int i = 0;
        while (i < a.length() && i < b.length() && a.charAt(i) == b.charAt(i)) {
            i++;
        }
        return a.substring(0, i);
    }

    /** Maps each procedure whose pattern already occurred on the same listener to its first occurrence. */
    public static Map<Procedure, Procedure> duplicates(List<Procedure> procedures) {
        Map<Procedure, Procedure> duplicates = new java.util.LinkedHashMap<>();
        List<Procedure> earlier = new ArrayList<>();
        for (Procedure p : procedures) {
            earlier.stream().filter(o -> o.listener().equals(p.listener()) && o.pattern().equals(p.pattern())).findFirst()
                .ifPresent(o -> duplicates.put(p, o));
            earlier.add(p);
        }
        return duplicates;
    }
}
