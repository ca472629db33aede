package onyxpaddle.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import onyxpaddle.config.Faults;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Precedence of entries over a node's own file, and the places reported for faults. */
class ConfigurationOverlayTest {
    private static final String BASE = """
        version: 1
        name: n1
        listeners:
          in: {address: "127.0.0.1:8080"}
        classes:
          look: {effect: safe, deadline: 5 s}
        pools:
          app: {servers: ["127.0.0.1:7001"], attempts: 2}
        routes:
          - {name: look, listener: in, path: /, pool: app, class: look}
        """;

    private final Faults faults = new Faults();

    private static Entry entry(String key, String value) {
        return new Entry(EntryKey.parse(key), value, new ConfigurationVersion(1, 1));
    }

    private Value merged(String base, Entry... entries) {
        Faults baseFaults = new Faults();
        Value value = SourceFile.parse("node.yaml", base, baseFaults);
        assertFalse(baseFaults.any());
        return ConfigurationOverlay.apply(value, List.of(entries), faults);
    }

    private NodeConfig read(Value value) {
        return NodeConfigReader.read(value, Path.of("."), MachineLimits.UNKNOWN, faults);
    }

    private String onlyFault() {
        assertEquals(1, faults.list().size(), faults.list().toString());
        return faults.list().get(0).toString();
    }

    @Test
    void nodeOverridesServiceAndServiceOverridesFleet() {
        List<Entry> entries = new ArrayList<>(List.of(
            entry("fleet/classes.look", "{effect: safe, deadline: 1 s}"),
            entry("service/booking/classes.look", "{effect: safe, deadline: 2 s}"),
            entry("node/n1/classes.look", "{effect: safe, deadline: 3 s}"), entry("fleet/pools.app", "{servers: [\"127.0.0.1:1\"]}"),
            entry("service/booking/pools.app", "{servers: [\"127.0.0.1:2\"]}"), entry("fleet/tenant", "kigali")));
        for (int i = 0; i < 10; i++) {
            Collections.shuffle(entries, new Random(i));
            NodeConfig config = read(merged(BASE, entries.toArray(Entry[]::new)));
            assertFalse(faults.any(), faults.list().toString());
            assertEquals(3_000_000_000L, config.classes().get("look").deadline());
            assertEquals("127.0.0.1:2", config.pools().get("app").servers().get(0).address().toString());
            assertEquals("kigali", config.tenant());
        }
    }

    /** A section is replaced, not merged key by key: keys missing in the entry get their defaults. */
    @Test
    void namedSectionReplacesTheWholeSection() {
        assertEquals(2, read(merged(BASE)).pools().get("app").attempts());
        NodeConfig config = read(merged(BASE, entry("service/booking/pools.app", "servers: [\"127.0.0.1:7002\"]\n")));
        assertEquals(3, config.pools().get("app").attempts());
    }

    @Test
    void namedSectionIsAddedToTheOthers() {
        NodeConfig config = read(merged(BASE, entry("fleet/pools.more", "{servers: [\"127.0.0.1:7002\"]}"),
            entry("fleet/routes", "[{name: a, listener: in, path: /, pool: app, class: look},"
                + "{name: b, listener: in, path: /b, pool: more, class: look}]")));
        assertFalse(faults.any(), faults.list().toString());
        assertEquals(List.of("app", "more"), List.copyOf(config.pools().keySet()));
    }

    /** Of an entry for all of {@code pools} and one for a single pool in the same scope, the more specific one wins. */
    @Test
    void namedSectionOverridesItsTopLevelKeyWithinAScope() {
        NodeConfig config = read(merged(BASE, entry("fleet/pools.app", "{servers: [\"127.0.0.1:1\"], attempts: 5}"),
            entry("fleet/pools", "app: {servers: [\"127.0.0.1:2\"], attempts: 4}\n")));
        assertEquals(5, config.pools().get("app").attempts());
        config = read(merged(BASE, entry("fleet/pools.app", "{servers: [\"127.0.0.1:1\"], attempts: 5}"),
            entry("node/n1/pools", "app: {servers: [\"127.0.0.1:2\"], attempts: 4}\n")));
        assertEquals(4, config.pools().get("app").attempts());
    }

    @Test
    void nullRemovesASectionAndARemovedEntryIsIgnored() {
        String two = BASE.replace("routes:", "  more: {servers: [\"127.0.0.1:7002\"]}\nroutes:");
        assertEquals(1, read(merged(two, entry("node/n1/pools.more", "null"))).pools().size());
        assertEquals(2, read(merged(two, entry("node/n1/pools.more", null))).pools().size());
    }

    @Test
    void sectionCreatesATopLevelKeyMissingInTheFile() {
        String without = BASE.substring(0, BASE.indexOf("pools:")) + BASE.substring(BASE.indexOf("routes:"));
        assertEquals(1, read(merged(without, entry("service/booking/pools.app", "{servers: [\"127.0.0.1:7002\"]}"))).pools().size());
        assertFalse(faults.any(), faults.list().toString());
    }

    @Test
    void faultNamesTheEntryAndThePathInTheConfiguration() {
        read(merged(BASE, entry("service/booking/pools.app", "servers: [\"127.0.0.1:7002\"]\nattemps: 3\n")));
        assertEquals("service/booking/pools.app:2:1: pools.app.attemps: unknown key; did you mean `attempts`?", onlyFault());
    }

    @Test
    void faultInAListNamesTheItem() {
        read(merged(BASE, entry("fleet/routes", "- {name: look, listener: in, path: x, pool: app, class: look}\n")));
        assertTrue(onlyFault().startsWith("fleet/routes:1:36: routes[0].path: is not a valid path: `x`"), onlyFault());
    }

    @Test
    void invalidYamlIsAFaultOfItsEntry() {
        merged(BASE, entry("fleet/pools.app", "servers: [\n"));
        assertTrue(onlyFault().startsWith("fleet/pools.app:2:1: not YAML: "), onlyFault());
    }

    @ParameterizedTest
    @ValueSource(strings = {"name", "limits", "version", "admin", "handover"})
    void nodeLocalKeyIsRejected(String key) {
        merged(BASE, entry("node/n1/" + key, "x"));
        assertEquals("node/n1/" + key + ":1:1: " + key + ": `" + key + "` is each node's own; set it in the node's file", onlyFault());
    }

    @Test
    void sectionOfAKeyWithoutNamedSectionsIsAFault() {
        merged(BASE, entry("fleet/routes.look", "{}"));
        assertTrue(onlyFault().startsWith("fleet/routes.look:1:1: routes.look: `routes` is a list at node.yaml:"), onlyFault());
    }

    @Test
    void unknownKeyIsAFault() {
        read(merged(BASE, entry("fleet/pols", "{}")));
        assertTrue(onlyFault().startsWith("fleet/pols:1:1: pols: unknown key; did you mean `pools`?"), onlyFault());
    }

    @Test
    void baseIsNotChanged() {
        Value base = SourceFile.parse("node.yaml", BASE, new Faults());
        String before = base.toString();
        ConfigurationOverlay.apply(base, List.of(entry("fleet/pools.app", "null"), entry("fleet/classes", "null")), faults);
        assertEquals(before, base.toString());
    }
}
