package onyxpaddle;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import onyxpaddle.BalancerApi.*;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

class SettingsTest {
    private static void assertNamed(String setting, Executable construction) {
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, construction);
        assertTrue(e.getMessage().contains(setting), e.getMessage());
    }

    @Test
    void settingOutOfRangeIsNamedInTheMessage() {
        Settings s = BalancerHarness.settings(BalancerHarness.requestClass("read", Effect.SAFE, KeyGroup.ALL));
        assertNamed("limits.maxAttempts", () -> new Limits(0, true, true, true, true, 0, 0));
        assertNamed("limits.connectTimeout", () -> new Limits(1, true, true, true, true, 0, -1));
        assertNamed("rules.startCapacity", () -> new Rules(1.5, 0, 1, 0, 0, 0, 0));
        assertNamed("classes.aim", () -> new RequestClass("x", Effect.SAFE, KeyGroup.ALL, 0, -1, 0, 0, 1, 0, false));
        assertNamed("zone", () -> new Settings("", List.of("a", "b"), 0, 0, 1, s.classes(), List.of(), 1, false, false,
            Weights.NONE, List.of(), 0, 0, s.limits(), s.rules()));
        assertNamed("siblings", () -> new Settings("a", List.of("a", "b"), 0, 0, 0, s.classes(), List.of(), 1, false,
            false, Weights.NONE, List.of(), 0, 0, s.limits(), s.rules()));
    }
}
