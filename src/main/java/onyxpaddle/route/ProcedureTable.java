package onyxpaddle.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The procedures of one listener. One named in full goes before any prefix, and the longest prefix before shorter ones.
 * A call for which none holds goes nowhere.
 */
public final class ProcedureTable {
    private final Map<String, Procedure> exact = new HashMap<>();
    /** By the start that they stand for. */
    private final TreeMap<String, Procedure> prefixes = new TreeMap<>();
    private final List<Procedure> all;

    public ProcedureTable(List<Procedure> procedures) {
        all = List.copyOf(procedures);
        for (Procedure p : procedures) {
            if (p.prefix()) {
                prefixes.put(p.start(), p);
            } else {
                exact.put(p.pattern(), p);
            }
        }
    }

    public List<Procedure> procedures() {
        return all;
    }

    /** The one for a call; null where none holds. */
    public Procedure find(String procedure) {
        Procedure found = exact.get(procedure);
        String sought = procedure;
        while (found == null && sought != null) {
            Map.Entry<String, Procedure> near = prefixes.floorEntry(sought);
            if (near == null || procedure.startsWith(near.getKey())) {
                return near == null ? null : near.getValue();
            }
            // Any prefix of the procedure that sorts lower is one of what the two have in common, or shorter.
            sought = common(near.getKey(), sought);
        }
        return found;
    }

    private static String common(String a, String b) {
        int i = 0;
        while (i < a.length() && i < b.length() && a.charAt(i) == b.charAt(i)) {
            i++;
        }
        return a.substring(0, i);
    }

    /** Those that stand duplicates: each with the one before it that has the same pattern, on any one listener. */
    public static Map<Procedure, Procedure> duplicates(List<Procedure> procedures) {
        Map<Procedure, Procedure> duplicates = new java.util.LinkedHashMap<>();
        List<Procedure> before = new ArrayList<>();
        for (Procedure p : procedures) {
            before.stream().filter(o -> o.listener().equals(p.listener()) && o.pattern().equals(p.pattern())).findFirst()
                .ifPresent(o -> duplicates.put(p, o));
            before.add(p);
        }
        return duplicates;
    }
}
