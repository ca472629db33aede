package onyxpaddle.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A publisher's answer to changes.
 *
 * @param version the published version; empty if the changes were refused
 * @param replicas the number of replicas that hold it
 * @param reasons why the changes were refused
 */
public record PublishAnswer(String version, int replicas, List<String> reasons) {
    private static final JsonFactory JSON = new JsonFactory();

    public PublishAnswer {
        reasons = List.copyOf(reasons);
    }

    public static PublishAnswer read(byte[] bytes) throws IOException {
        try (JsonParser parser = JSON.createParser(bytes)) {
            String version = "";
            int replicas = 0;
            List<String> reasons = new ArrayList<>();
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("the answer is not a JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                JsonToken token = parser.nextToken();
                switch (name) {
                    case "version" -> version = parser.getText();
                    case "replicas" -> replicas = parser.getIntValue();
                    case "reason" -> reasons.add(parser.getText());
                    case "faults", "conflicts" -> {
                        while (token != JsonToken.END_ARRAY && (token = parser.nextToken()) != JsonToken.END_ARRAY) {
                            reasons.add(parser.getText());
                        }
                    }
                    default -> parser.skipChildren();
                }
            }
            return new PublishAnswer(version, replicas, reasons);
        }
    }
}
