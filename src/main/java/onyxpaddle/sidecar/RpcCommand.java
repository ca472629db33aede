package onyxpaddle.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import onyxpaddle.config.HostPort;
import onyxpaddle.standin.RpcCaller;
import onyxpaddle.standin.RpcCaller.Reply;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command `rpc`: calls a server or a node by MessagePack-RPC from the command line. */
@Command(name = "rpc", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Calls a server or a node by MessagePack-RPC.")
public final class RpcCommand {
    private static final int ANSWERED = 0;
    private static final int CANNOT_RUN = 1;
    private static final int USAGE = 64;
    /** The answer was an error (EX_UNAVAILABLE of sysexits.h). */
    private static final int ERROR = 69;

    @Spec
    private CommandSpec spec;

    private RpcCommand() {
    }

    /** Runs the command on its own and returns its exit code. */
    static int run(String[] args, PrintWriter out, PrintWriter err) {
        return CommandRunner.run(line(), args, out, err);
    }

    /** The command as a subcommand of the program. */
    public static CommandLine line() {
        return new CommandLine(new RpcCommand());
    }

    @Command(name = "call", mixinStandardHelpOptions = true,
        description = {"Calls a method and prints its result as JSON; an error is printed to standard error.",
            "Example: lupinmount rpc call 127.0.0.1:7100 patient.read '[\"p-17\"]' --key k1"},
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:the answer was a result", "69:the answer was an error", "64:wrong usage", "1:cannot run, or no answer in time"})
    int call(@Parameters(paramLabel = "ADDRESS", description = "IP and port, as 127.0.0.1:7100") String address,
            @Parameters(paramLabel = "METHOD") String method,
            @Parameters(paramLabel = "JSON-PARAMS", arity = "0..1", defaultValue = "[]",
                description = "the parameters, a JSON array; default: ${DEFAULT-VALUE}") String params,
            @Option(names = "--key", description = "in the envelope: an idempotency key, the same for each repeat of a call") String key,
            @Option(names = "--expires", description = "in the envelope: how long the caller waits, in milliseconds") Long expires,
            @Option(names = "--tenant", description = "in the envelope: the tenant of the call") String tenant,
            @Option(names = "--worth", description = "in the envelope: the worth as a fraction of the class's worth, 0 to 1") Double worth,
            @Option(names = "--retry", description = "in the envelope: marks the call as a retry") boolean retry,
            @Option(names = "--notify", description = "send a notification, which is not answered") boolean notify,
            @Option(names = "--timeout", defaultValue = "10", description = "seconds to wait; default: ${DEFAULT-VALUE}") int timeout)
            throws Exception {
        HostPort to = HostPort.parse(address);
        if (to == null) {
            throw new ParameterException(spec.commandLine(), "not an IP and port: " + address + "; such as 127.0.0.1:7100");
        }
        List<Value> values = new ArrayList<>(parseParams(params));
        Map<String, Object> envelope = new LinkedHashMap<>();
        envelope.put("key", key);
        envelope.put("expires", expires);
        envelope.put("tenant", tenant);
        envelope.put("worth", worth);
        envelope.put("retry", retry ? Boolean.TRUE : null);
        envelope.values().removeIf(java.util.Objects::isNull);
        if (!envelope.isEmpty()) {
            values.add(0, RpcCaller.envelope(envelope.entrySet().stream()
                .flatMap(e -> java.util.stream.Stream.of(e.getKey(), e.getValue())).toArray()));
        }
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        try (RpcCaller caller = new RpcCaller(new InetSocketAddress(to.host(), to.port()))) {
            if (notify) {
                caller.sendNotification(method, values.toArray(new Value[0]));
                return ANSWERED;
            }
            Reply reply = caller.call(method, values.toArray(new Value[0])).get(timeout, TimeUnit.SECONDS);
            if (reply.ok()) {
                out.println(reply.result().toJson());
                return ANSWERED;
            }
            err.println((reply.nodeErrorCode() != null ? "node error: " : "error: ") + reply.error().toJson());
            return ERROR;
        } catch (TimeoutException e) {
            err.println("lupinmount: no answer within " + timeout + " s; it is unknown whether the call was executed");
            return CANNOT_RUN;
        } catch (ExecutionException e) {
            err.println("lupinmount: no answer: " + e.getCause().getMessage());
            return CANNOT_RUN;
        }
    }

    private List<Value> parseParams(String params) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(params)) {
            if (parser.nextToken() != JsonToken.START_ARRAY) {
                throw new ParameterException(spec.commandLine(), "the parameters are not a JSON array: " + params);
            }
            Value array = value(parser);
            if (parser.nextToken() != null) {
                throw new ParameterException(spec.commandLine(), "unexpected text after the JSON array: " + params);
            }
            return array.asArrayValue().list();
        } catch (JsonProcessingException e) {
            throw new ParameterException(spec.commandLine(), "the parameters are not valid JSON: " + e.getOriginalMessage());
        }
    }

    /** Converts the JSON value at the parser's current token. */
    private static Value value(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_ARRAY -> {
                List<Value> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    items.add(value(parser));
                }
                return ValueFactory.newArray(items);
            }
            case START_OBJECT -> {
                Map<Value, Value> pairs = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    Value name = ValueFactory.newString(parser.currentName());
                    parser.nextToken();
                    pairs.put(name, value(parser));
                }
                return ValueFactory.newMap(pairs);
            }
            case VALUE_STRING -> {
                return ValueFactory.newString(parser.getText());
            }
            case VALUE_NUMBER_INT -> {
                return ValueFactory.newInteger(parser.getBigIntegerValue());
            }
            case VALUE_NUMBER_FLOAT -> {
                return ValueFactory.newFloat(parser.getDoubleValue());
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return ValueFactory.newBoolean(parser.getBooleanValue());
            }
            default -> {
                return ValueFactory.newNil();
            }
        }
    }
}
