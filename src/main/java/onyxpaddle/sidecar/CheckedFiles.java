package onyxpaddle.sidecar;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.config.Faults;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfig.Listener;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.config.Place;
import onyxpaddle.config.ServerListReader;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.ConfigView;

/** Descriptions, node configurations and server list files, read and checked one by one and against each other. */
final class CheckedFiles {
    private static final int MAX_FILES = 1000;

    final Faults faults = new Faults();
    final List<Description> descriptions = new ArrayList<>();
    final Map<Path, NodeConfig> configs = new LinkedHashMap<>();
    int fileCount;
    private final MachineLimits machine;

    private CheckedFiles(MachineLimits machine) {
        this.machine = machine;
    }

    /** Reads the given files, and from each folder those with the suffix .yaml, .yml or .json. */
    static CheckedFiles of(List<Path> paths, MachineLimits machine) {
        return of(paths, machine, true);
    }

    /**
     * @param complete whether the descriptions cover all applications of the machine; if so, a call to an application that is
     *     not among them is a fault
     */
    static CheckedFiles of(List<Path> paths, MachineLimits machine, boolean complete) {
        CheckedFiles checked = new CheckedFiles(machine);
        for (Path path : paths) {
            if (Files.isDirectory(path)) {
                checked.readFolder(path);
            } else {
                checked.readFile(path);
            }
        }
        CrossDescriptionCheck.check(checked.descriptions, complete, checked.faults);
        checked.checkListenerAddresses();
        return checked;
    }

    private void readFolder(Path folder) {
        List<Path> entries = new ArrayList<>();
        try (DirectoryStream<Path> stream = Files.newDirectoryStream(folder, "*.{yaml,yml,json}")) {
            stream.forEach(entries::add);
        } catch (IOException e) {
            faults.add(Place.of(folder.toString()), "", "the folder cannot be read", "check its permissions");
            return;
        }
        if (entries.isEmpty() || entries.size() > MAX_FILES) {
            faults.add(Place.of(folder.toString()), "", "the folder has " + entries.size() + " configuration files",
                "from 1 to " + MAX_FILES + " that end in .yaml, .yml or .json");
            return;
        }
        entries.sort(null);
        entries.forEach(this::readFile);
    }

    private void readFile(Path path) {
        fileCount++;
        Value value = SourceFile.read(path, faults);
        if (value == null) {
            return;
        }
        ConfigView view = new ConfigView(value);
        Faults own = new Faults();
        if (view.has("listeners") || view.has("routes") || view.has("pools") && !view.has("application")) {
            NodeConfig config = NodeConfigReader.read(value, path.toAbsolutePath().getParent(), machine, own);
            if (!own.any()) {
                configs.put(path, config);
            }
        } else if (view.has("servers") && !view.has("application")) {
            ServerListReader.file(path, own);
        } else {
            descriptions.add(DescriptionReader.read(value, path, machine, own));
        }
        faults.addAll(own.list());
    }

    private void checkListenerAddresses() {
        Map<Listener, Path> listeners = new LinkedHashMap<>();
        configs.forEach((path, config) -> config.listeners().values().forEach(listener -> {
            listeners.forEach((other, where) -> {
                if (other.address().conflictsWith(listener.address()) && !where.equals(path)) {
                    faults.add(Place.of(path.toString()), "listeners." + listener.name() + ".address", listener.address()
                        + " is also used by the listener `" + other.name() + "` of " + where,
                        "a unique port for each listener of the machine");
                }
            });
            listeners.put(listener, path);
        }));
    }
}
