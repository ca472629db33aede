package onyxpaddle.config;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import onyxpaddle.config.Schema.Key;
import onyxpaddle.config.Schema.ListOf;
import onyxpaddle.config.Schema.MapOf;
import onyxpaddle.config.Schema.ScalarSchema;
import onyxpaddle.config.Schema.Section;
import onyxpaddle.config.Schema.ScalarOrSection;
import onyxpaddle.config.Value.Mapping;
import onyxpaddle.config.Value.Scalar;
import onyxpaddle.config.Value.Sequence;

/** Validates a tree against a schema. Each violation is a fault; valid values stay usable beside invalid ones. */
public final class SchemaValidator {
    private static final Pattern NAME = Pattern.compile("[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern PATH = Pattern.compile("/[!-~&&[^?#%]]{0,255}");
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}");
    private static final Pattern HOST = Pattern.compile("[A-Za-z0-9](?:[A-Za-z0-9.-]{0,251}[A-Za-z0-9])?");
    private static final Pattern PROCEDURE = Pattern.compile("[!-~&&[^*]]{1,200}|[!-~&&[^*]]{0,199}\\*");
    private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,12}");
    private static final Pattern NUMBER = Pattern.compile("-?[0-9]{1,12}(\\.[0-9]{1,9})?");
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
    /** Far above the length of any real setting. */
    private static final int MAX_TEXT = 1000;
    private static final int MAX_ITEMS = 10_000;

    private final Faults faults;

    private SchemaValidator(Faults faults) {
        this.faults = faults;
    }

    public static void check(Value value, Schema schema, Faults faults) {
        new SchemaValidator(faults).validate(value, schema);
    }

    private void validate(Value value, Schema schema) {
        if (schema instanceof ScalarSchema plain) {
            plain(value, plain);
        } else if (schema instanceof ListOf list) {
            list(value, list);
        } else if (schema instanceof MapOf map) {
            map(value, map);
        } else if (schema instanceof Section section) {
            section(value, section);
        } else if (schema instanceof ScalarOrSection either) {
            validate(value, value instanceof Mapping ? either.section() : either.scalar());
        }
    }

    private void fault(Value at, String wrong, String right) {
        faults.add(at.place(), at.path(), wrong, right);
    }

    private void list(Value value, ListOf list) {
        if (!(value instanceof Sequence sequence)) {
            fault(value, "is " + value.kind() + " where a list is expected", "`[one, another]`, or a line `- one` for each");
            return;
        }
        if (sequence.items().isEmpty() && !list.mayBeEmpty()) {
            fault(value, "the list is empty", "name at least one");
        }
        if (sequence.items().size() > MAX_ITEMS) {
            fault(value, "holds " + sequence.items().size() + " items", "at most " + MAX_ITEMS);
            return;
        }
        sequence.items().forEach(item -> validate(item, list.item()));
    }

    private void map(Value value, MapOf map) {
        if (!(value instanceof Mapping mapping)) {
            fault(value, "is " + value.kind() + " where named sections are expected", "`name:` with its keys below");
            return;
        }
        if (mapping.keys().isEmpty() && !map.mayBeEmpty()) {
            fault(value, "is empty", "name at least one");
        }
        mapping.keys().forEach((name, place) -> {
            String wrong = wrong(name, Schema.plain(map.name()));
            if (wrong != null) {
                faults.add(place, join(value.path(), name), "the name " + wrong, map.name().description);
            }
            if (mapping.values().get(name) != null) {
                validate(mapping.values().get(name), map.item());
            }
        });
    }

    private void section(Value value, Section section) {
        if (value instanceof Scalar scalar && scalar.blank()) {
            value = new Mapping(value.place(), value.path(), java.util.Map.of(), java.util.Map.of());
        }
        if (!(value instanceof Mapping mapping)) {
            fault(value, "is " + value.kind() + " where a section is expected", "keys: " + names(section));
            return;
        }
        mapping.keys().forEach((name, place) -> {
            Key key = section.keys().stream().filter(k -> k.name().equals(name)).findFirst().orElse(null);
            if (key == null) {
                String near = nearest(name, section);
                faults.add(place, join(mapping.path(), name), "unknown key",
                    near == null ? "keys here: " + names(section) : "did you mean `" + near + "`?");
            } else if (mapping.values().get(name) instanceof Scalar scalar && scalar.blank()
                    && !(key.schema() instanceof Section)) {
                faults.add(place, join(mapping.path(), name), "has no value",
                    key.required() ? describe(key.schema()) : describe(key.schema()) + ", or leave the key out");
            } else if (mapping.values().get(name) != null) {
                validate(mapping.values().get(name), key.schema());
            }
        });
        for (Key key : section.keys()) {
            if (key.required() && !mapping.keys().containsKey(key.name())) {
                fault(mapping, "`" + key.name() + "` is missing", "`" + key.name() + ":` " + describe(key.schema()));
            }
        }
    }

    private static String names(Section section) {
        return String.join(", ", section.keys().stream().map(Key::name).toList());
    }

    static String join(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private void plain(Value value, ScalarSchema plain) {
        if (!(value instanceof Scalar scalar)) {
            fault(value, "is " + value.kind(), describe(plain));
            return;
        }
        String wrong = wrong(scalar.text(), plain);
        if (wrong != null) {
            fault(value, wrong, hint(scalar.text(), plain));
        }
    }

    /** Returns what is wrong with a text as a value of this kind, or null if it is valid. */
    static String wrong(String text, ScalarSchema plain) {
        String shown = new Scalar(null, "", text, true).kind();
        if (text.length() > MAX_TEXT) {
            return "is " + text.length() + " characters long";
        }
        return switch (plain.kind()) {
            case TEXT -> text.isEmpty() || text.chars().anyMatch(c -> c < ' ') ? "is empty or holds control characters" : null;
            case NAME -> NAME.matcher(text).matches() ? null : "is not a valid name: " + shown;
            case LABEL -> NAME.matcher(text).matches() && text.length() <= 30 && !text.contains("--") ? null
                : "is not a valid name: " + shown;
            case WORD -> plain.words().contains(text) ? null : "unknown value " + shown;
            case PORT -> bounded(text, INTEGER, 1, 65535, shown, "port");
            case COUNT -> bounded(text, INTEGER, plain.min(), plain.max(), shown, "whole number");
            case NUMBER -> bounded(text, NUMBER, plain.min(), plain.max(), shown, "number");
            case ADDRESS -> HostPort.parse(text) == null ? "is not a valid address: " + shown : null;
            case IP -> Ip.parse(text) == null ? "is not a valid IP address: " + shown : null;
            case PREFIX -> Ip.prefix(text) == null ? "is not a valid prefix, or has host bits set: " + shown : null;
            case COMMUNITY -> Ip.community(text) == null ? "is not a valid community: " + shown : null;
            case SPAN -> amount(Units.parseSpan(text), plain, shown, "time");
            case SIZE -> amount(Units.parseSize(text), plain, shown, "size");
            case FLAG -> text.equals("true") || text.equals("false") ? null : "is neither true nor false: " + shown;
            case PATH -> PATH.matcher(text).matches() && !hasEmptyOrDotSegment(text) ? null : "is not a valid path: " + shown;
            case METHOD -> METHODS.contains(text) ? null : "is not a valid method: " + shown;
            case HEADER -> TOKEN.matcher(text).matches() ? null : "is not a valid header name: " + shown;
            case PROCEDURE -> PROCEDURE.matcher(text).matches() ? null : "is not a valid procedure: " + shown;
            case HOST -> HOST.matcher(text.startsWith("*.") ? text.substring(2) : text).matches() ? null
                : "is not a valid host name: " + shown;
        };
    }

    private static boolean hasEmptyOrDotSegment(String path) {
        return path.contains("//") || path.contains("/./") || path.contains("/../") || path.endsWith("/.")
            || path.endsWith("/..");
    }

    private static String bounded(String text, Pattern pattern, double least, double most, String shown, String what) {
        if (!pattern.matcher(text).matches()) {
            return "is not a valid " + what + ": " + shown;
        }
        double number = Double.parseDouble(text);
        return number < least ? "is too small: " + shown : number > most ? "is too large: " + shown : null;
    }

    private static String amount(long amount, ScalarSchema plain, String shown, String what) {
        if (amount < 0) {
            return "is not a valid " + what + " with a unit: " + shown;
        }
        return amount < plain.min() ? "is too small: " + shown : amount > plain.max() ? "is too large: " + shown : null;
    }

    private static String hint(String text, ScalarSchema plain) {
        if (INTEGER.matcher(text).matches() && plain.kind() == Schema.Kind.SPAN) {
            return "a unit: `" + text + " ms` or `" + text + " s`? " + describe(plain);
        }
        if (INTEGER.matcher(text).matches() && plain.kind() == Schema.Kind.SIZE) {
            return "a unit: `" + text + " KiB` or `" + text + " B`? " + describe(plain);
        }
        if (plain.kind() == Schema.Kind.METHOD && METHODS.contains(text.toUpperCase(Locale.ROOT))) {
            return "did you mean `" + text.toUpperCase(Locale.ROOT) + "`?";
        }
        if (plain.kind() == Schema.Kind.WORD) {
            String near = SpellingSuggestions.nearest(text, plain.words());
            return (near == null ? "" : "did you mean `" + near + "`? ") + describe(plain);
        }
        return describe(plain);
    }

    static String describe(Schema schema) {
        if (schema instanceof ScalarSchema plain) {
            if (plain.kind() == Schema.Kind.WORD) {
                return "one of " + String.join(", ", plain.words());
            }
            return plain.kind().description + bounds(plain);
        }
        return schema instanceof ListOf list ? "a list; each: " + describe(list.item())
            : schema instanceof ScalarOrSection either ? describe(either.scalar()) + ", or its section"
            : schema instanceof MapOf ? "named sections" : "a section";
    }

    private static String bounds(ScalarSchema plain) {
        if (plain.min() == -Double.MAX_VALUE) {
            return "";
        }
        return " from " + amountText(plain, plain.min()) + (plain.max() < Double.MAX_VALUE
            ? " to " + amountText(plain, plain.max()) : " on");
    }

    private static String amountText(ScalarSchema plain, double amount) {
        return switch (plain.kind()) {
            case SPAN -> Units.formatSpan((long) amount);
            case SIZE -> Units.formatSize((long) amount);
            default -> amount == Math.rint(amount) ? Long.toString((long) amount) : Double.toString(amount);
        };
    }

    private static String nearest(String name, Section section) {
        return SpellingSuggestions.nearest(name, section.keys().stream().map(Key::name).toList());
    }
}
