package onyxpaddle.serve;

import java.util.List;

/** A node cannot start, neither with the configuration of the control processes nor with its own file alone. */
public final class ConfigurationRefusedException extends Exception {
    private static final long serialVersionUID = 1;

    private final boolean invalid;

    /** {@code reasons}: a line for each fault, at least one. */
    ConfigurationRefusedException(List<String> reasons, boolean invalid) {
        super(String.join("\n", reasons));
        this.invalid = invalid;
    }

    /** Whether the configuration is invalid; otherwise it is valid but could not be applied, for example because a port is in use. */
    public boolean invalid() {
        return invalid;
    }
}
