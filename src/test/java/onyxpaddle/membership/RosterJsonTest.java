package onyxpaddle.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.membership.ListUpdate.InvalidEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RosterJsonTest {
    private static final String SOUND = "{\"host\":\"a\",\"dial\":\"127.0.0.1:80\",\"health\":\"ready\"}";

    private static ListUpdate parse(String text) throws IOException {
        return RosterJson.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static ListUpdate withEntry(String entry) throws IOException {
        return parse("{\"seq\":4,\"whole\":true,\"hosts\":[" + SOUND + "," + entry + "," + SOUND.replace("\"a\"", "\"c\"") + "]}");
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "{\"host\":\"b\",\"dial\":\"127.0.0.1:80\",\"health\":\"resting\"}|b|health is unknown: resting",
        "{\"host\":\"b\",\"dial\":\"127.0.0.1:80\"}|b|health is missing",
        "{\"host\":\"b\",\"dial\":\"127.0.0.1:80\",\"health\":{\"now\":[1]}}|b|health is not a string",
        "{\"host\":\"b\",\"health\":\"ready\"}|b|dial is missing",
        "{\"host\":\"b\",\"dial\":\"b.svc:80\",\"health\":\"ready\"}|b|dial: not an IP address with a port: b.svc:80",
        "{\"host\":\"b\",\"dial\":7,\"health\":\"ready\"}|b|dial is not a string",
        "{\"health\":\"ready\",\"dial\":\"127.0.0.1:80\"}||host is missing",
        "{\"host\":\"b\",\"dial\":\"127.0.0.1:80\",\"health\":\"ready\",\"share\":\"1\"}|b|share is not a number",
        "{\"host\":\"b\",\"dial\":\"127.0.0.1:80\",\"health\":\"ready\",\"born_ms\":1e40}|b|born_ms is out of range",
        "{\"host\":\"b\",\"dial\":\"127.0.0.1:80\",\"health\":\"ready\",\"health\":\"draining\"}|b|health is repeated with another value",
        "[[1,{}]]||not an object", "null||not an object", "7||not an object"})
    void entryThatCannotBeReadSpoilsItselfAlone(String entry, String server, String reason) throws IOException {
        ListUpdate update = withEntry(entry);
        assertEquals(List.of("a", "c"), update.hosts().stream().map(h -> h.entry().server()).toList());
        assertEquals(List.of(new InvalidEntry(server, reason)), update.invalid());
    }

    @Test
    void goneServerNeedsNoDialAndUnknownFieldsAreSkipped() throws IOException {
        ListUpdate update = withEntry("{\"host\":\"b\",\"health\":\"gone\",\"more\":{\"a\":[1,2]},\"site\":null}");
        assertEquals(ServerState.GONE, update.hosts().get(1).entry().state());
        assertEquals(List.of(), update.invalid());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "[]", "7", "{\"seq\":1}", "{\"hosts\":[]}", "{\"seq\":-1,\"hosts\":[]}", "{\"seq\":\"1\",\"hosts\":[]}",
        "{\"seq\":1,\"hosts\":{}}", "{\"seq\":1,\"hosts\":[", "{\"seq\":1,\"hosts\":[{\"host\":\"a\"", "{\"seq\":1,\"hosts\":[]}{}"})
    void documentThatIsNoListIsRejectedWhole(String text) {
        assertThrows(IOException.class, () -> parse(text));
    }
}
