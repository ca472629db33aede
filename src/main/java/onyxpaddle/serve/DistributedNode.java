package onyxpaddle.serve;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import onyxpaddle.config.Fault;
import onyxpaddle.config.Faults;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.Schema;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.ConfigView;
import onyxpaddle.distribution.Subscription;
import onyxpaddle.node.Addresses;
import onyxpaddle.node.Log;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.socket.NodeEventLoop;

/**
 * A sidecar on whose file the entries of the control processes are overlaid. Calls to control processes and validation run on a thread
 * each, so that the event loop that serves requests only applies validated configurations.
 */
public final class DistributedNode implements ConfigurationTarget {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_CONFIG = 78;
    private static final int MAX_FAULTS_LOGGED = 20;

    private final HostPort admin;
    /** Null before the first configuration is in force. */
    private volatile Sidecar node;

    private DistributedNode(HostPort admin) {
        this.admin = admin;
    }

    /**
     * Runs a node until the process is terminated; SIGHUP rereads the file and overlays the same entries on it.
     *
     * @param admin overrides the admin address of the file; null for no override
     * @param control the addresses of the control processes, at least one
     * @param service the service that the node is a sidecar of; empty for none
     * @param state the folder in which the entries in force are cached; null for no cache
     */
    public static void main(Path file, HostPort admin, List<HostPort> control, String service, Path state) {
        Faults faults = new Faults();
        Value base = SourceFile.read(file, faults);
        Subscription subscription = base == null ? null : subscription(base, service, faults);
        if (subscription == null) {
            faults.list().forEach(System.err::println);
            System.exit(EXIT_CONFIG);
        }
        DistributedNode target = new DistributedNode(admin);
        DistributedConfiguration configuration = new DistributedConfiguration(
            new DistributedConfiguration.Origin(subscription, base, file.toAbsolutePath().getParent(), MachineLimits.ofThisMachine(), state),
            control(control), worker(), target);
        try {
            configuration.start().get();
            SighupHandler.install(() -> target.reload(file, configuration));
            Runtime.getRuntime().addShutdownHook(new Thread(target.node::drain, "drain"));
        } catch (ExecutionException e) {
            boolean invalid = e.getCause() instanceof ConfigurationRefusedException refused && refused.invalid();
            System.err.println((invalid ? "" : "lupinmount: cannot start: ") + e.getCause().getMessage());
            System.exit(invalid ? EXIT_CONFIG : EXIT_FAILURE);
        } catch (ReflectiveOperationException | InterruptedException e) {
            System.err.println("lupinmount: cannot start: " + e.getMessage());
            System.exit(EXIT_FAILURE);
        }
    }

    /** Which entries apply to the node; null if the file has no valid name. */
    private static Subscription subscription(Value base, String service, Faults faults) {
        String name = new ConfigView(base).text("name", Schema.Kind.NAME, null);
        if (name == null) {
            faults.add(base.place(), "name", "is missing or not a valid name", "the name of the node, which selects its entries");
            return null;
        }
        try {
            return new Subscription(name, service);
        } catch (IllegalArgumentException e) {
            faults.add(base.place(), "name", e.getMessage(), "a name of lower-case letters, digits and hyphens");
            return null;
        }
    }

    private static DistributedConfiguration.Control control(List<HostPort> control) {
        List<InetSocketAddress> replicas = control.stream().distinct().map(at -> Addresses.of(at.host(), at.port())).toList();
        MultiThreadIoEventLoopGroup group = NodeEventLoop.group(new DefaultThreadFactory("configuration", true), NioIoHandler.newFactory());
        return new DistributedConfiguration.Control(group.next(), SocketBuffers.allocator(), replicas);
    }

    private static ExecutorService worker() {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "configuration-check");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** The first configuration starts the node, each later one changes it. */
    @Override
    public CompletableFuture<String> apply(NodeConfig config) {
        NodeConfig effective = admin == null ? config : config.withAdmin(admin);
        if (node != null) {
            return node.change(effective).whenComplete((failure, thrown) -> node.reloaded(failure == null && thrown == null));
        }
        try {
            node = Sidecar.start(effective);
            return CompletableFuture.completedFuture(null);
        } catch (Exception e) {
            return CompletableFuture.completedFuture(String.valueOf(e.getMessage()));
        }
    }

    private void reload(Path file, DistributedConfiguration configuration) {
        Faults faults = new Faults();
        Value base = SourceFile.read(file, faults);
        if (base == null) {
            Log.line("reload: nothing is changed, as the file is at fault:");
            faults.list().stream().limit(MAX_FAULTS_LOGGED).map(Fault::toString).forEach(Log::line);
            node.reloaded(false);
            return;
        }
        configuration.rebase(base);
    }
}
