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

/** Files of any of our kinds, read and checked one by one and together. */
final class CheckedFiles {
    private static final int MOST_FILES = 1000;

    final Faults faults = new Faults();
    final List<Description> descriptions = new ArrayList<>();
    final Map<Path, NodeConfig> configs = new LinkedHashMap<>();
    int files;
    private final MachineLimits machine;

    private CheckedFiles(MachineLimits machine) {
        this.machine = machine;
    }

    /** Reads the files, and of each folder those that end in .yaml, .yml or .json. */
    static CheckedFiles of(List<Path> paths, MachineLimits machine) {
        return of(paths, machine, true);
    }

    /** {@code whole}: these are all applications of the machine, so that a call to another one must find it here. */
    static CheckedFiles of(List<Path> paths, MachineLimits machine, boolean whole) {
        CheckedFiles checked = new CheckedFiles(machine);
        for (Path path : paths) {
            if (Files.isDirectory(path)) {
                checked.folder(path);
            } else {
                checked.file(path);
            }
        }
        CrossDescriptionCheck.check(checked.descriptions, whole, checked.faults);
        checked.ports();
        return checked;
    }

    private void folder(Path folder) {
        List<Path> inside = new ArrayList<>();
        try (DirectoryStream<Path> stream = Files.newDirectoryStream(folder, "*.{yaml,yml,json}")) {
            stream.forEach(inside::add);
        } catch (IOException e) {
            faults.add(Place.of(folder.toString()), "", "the folder cannot be read", "check its rights");
            return;
        }
        if (inside.isEmpty() || inside.size() > MOST_FILES) {
            faults.add(Place.of(folder.toString()), "", "the folder holds " + inside.size() + " files of ours",
                "from 1 to " + MOST_FILES + " that end in .yaml, .yml or .json");
            return;
        }
        inside.sort(null);
        inside.forEach(this::file);
    }

    private void file(Path path) {
        files++;
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

    private void ports() {
        Map<Listener, Path> listeners = new LinkedHashMap<>();
        configs.forEach((path, config) -> config.listeners().values().forEach(listener -> {
            listeners.forEach((other, where) -> {
                if (other.address().conflictsWith(listener.address()) && !where.equals(path)) {
                    faults.add(Place.of(path.toString()), "listeners." + listener.name() + ".address", listener.address()
                        + " is claimed by the listener `" + other.name() + "` of " + where + " too",
                        "a port of its own for each listener of a machine");
                }
            });
            listeners.put(listener, path);
        }));
    }
}
