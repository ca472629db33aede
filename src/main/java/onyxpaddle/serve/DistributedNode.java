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
import onyxpaddle.config.Shape;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.View;
import onyxpaddle.distribution.Subscription;
import onyxpaddle.node.Addresses;
import onyxpaddle.node.Log;
import onyxpaddle.node.SocketBuffers;

/**
 * A sidecar whose file is laid under the entries of control processes. Calls and checks have two threads of their own, so that the
 * loop on which requests are served does nothing but take what was checked.
 */
public final class DistributedNode implements ConfigurationTarget {
    private static final int EXIT_CANNOT_RUN = 1;
    private static final int EXIT_CONFIG = 78;
    private static final int MOST_FAULTS_LOGGED = 20;

    private final HostPort admin;
    /** Null before the first configuration is in force. */
    private volatile Sidecar node;

    private DistributedNode(HostPort admin) {
        this.admin = admin;
    }

    /**
     * Runs a node until it is told to stop; SIGHUP reads the file again and lays the same entries over it.
     *
     * @param admin in place of the file's, null for that
     * @param control where control processes listen, at least one
     * @param service beside which the node install; empty for none
     * @param state where entries in force are kept; null to keep none
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
            new DistributedConfiguration.Origin(subscription, base, file.toAbsolutePath().getParent(), MachineLimits.here(), state),
            control(control), worker(), target);
        try {
            configuration.start().get();
            SighupHandler.install(() -> target.reload(file, configuration));
            Runtime.getRuntime().addShutdownHook(new Thread(target.node::drain, "drain"));
        } catch (ExecutionException e) {
            boolean faulty = e.getCause() instanceof ConfigurationRefusedException refused && refused.faulty();
            System.err.println((faulty ? "" : "lupinmount: cannot start: ") + e.getCause().getMessage());
            System.exit(faulty ? EXIT_CONFIG : EXIT_CANNOT_RUN);
        } catch (ReflectiveOperationException | InterruptedException e) {
            System.err.println("lupinmount: cannot start: " + e.getMessage());
            System.exit(EXIT_CANNOT_RUN);
        }
    }

    /** Whose entries concern the node; null where the file does not name it. */
    private static Subscription subscription(Value base, String service, Faults faults) {
        String name = new View(base).text("name", Shape.Kind.NAME, null);
        if (name == null) {
            faults.add(base.place(), "name", "is missing or is no name", "the node's name, by which its entries are found");
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
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("configuration", true),
            NioIoHandler.newFactory());
        return new DistributedConfiguration.Control(group.next(), SocketBuffers.allocator(), replicas);
    }

    private static ExecutorService worker() {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "configuration-check");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** The first one starts the node; the others change it. */
    @Override
    public CompletableFuture<String> apply(NodeConfig config) {
        NodeConfig wanted = admin == null ? config : config.withAdmin(admin);
        if (node != null) {
            return node.change(wanted).whenComplete((failure, thrown) -> node.reloaded(failure == null && thrown == null));
        }
        try {
            node = Sidecar.start(wanted);
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
            faults.list().stream().limit(MOST_FAULTS_LOGGED).map(Fault::toString).forEach(Log::line);
            node.reloaded(false);
            return;
        }
        configuration.rebase(base);
    }
}
