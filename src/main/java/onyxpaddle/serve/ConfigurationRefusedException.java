package onyxpaddle.serve;

import java.util.List;

/** Neither what control processes tell nor the node's own file is a configuration by which a node can start. */
public final class ConfigurationRefusedException extends Exception {
    private static final long serialVersionUID = 1;

    private final boolean faulty;

    /** {@code why}: a line for each fault, at least one. */
    ConfigurationRefusedException(List<String> why, boolean faulty) {
        super(String.join("\n", why));
        this.faulty = faulty;
    }

    /** Whether the configuration is at fault; else it is sound and can't be brought into force, as where a port is taken. */
    public boolean faulty() {
        return faulty;
    }
}
