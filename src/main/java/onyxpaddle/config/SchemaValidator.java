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

/** Holds a tree against a shape. All that does not fit is a fault; what fits is usable whatever else is wrong. */
public final class SchemaValidator {
    private static final Pattern NAME = Pattern.compile("[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern PATH = Pattern.compile("/[!-~&&[^?#%]]{0,255}");
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}");
    private static final Pattern HOST = Pattern.compile("[A-Za-z0-9](?:[A-Za-z0-9.-]{0,251}[A-Za-z0-9])?");
    private static final Pattern PROCEDURE = Pattern.compile("[!-~&&[^*]]{1,200}|[!-~&&[^*]]{0,199}\\*");
    private static final Pattern WHOLE = Pattern.compile("-?[0-9]{1,12}");
    private static final Pattern NUMBER = Pattern.compile("-?[0-9]{1,12}(\\.[0-9]{1,9})?");
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
    /** A value that takes longer to say than this is no setting. */
    private static final int LONGEST_TEXT = 1000;
    private static final int MOST_ITEMS = 10_000;

    private final Faults faults;

    private SchemaValidator(Faults faults) {
        this.faults = faults;
    }

    public static void check(Value value, Schema shape, Faults faults) {
        new SchemaValidator(faults).any(value, shape);
    }

    private void any(Value value, Schema shape) {
        if (shape instanceof ScalarSchema plain) {
            plain(value, plain);
        } else if (shape instanceof ListOf list) {
            list(value, list);
        } else if (shape instanceof MapOf map) {
            map(value, map);
        } else if (shape instanceof Section section) {
            section(value, section);
        } else if (shape instanceof ScalarOrSection either) {
            any(value, value instanceof Mapping ? either.section() : either.scalar());
        }
    }

    private void fault(Value at, String wrong, String right) {
        faults.add(at.place(), at.path(), wrong, right);
    }

    private void list(Value value, ListOf list) {
        if (!(value instanceof Sequence sequence)) {
            fault(value, "is " + value.kind() + " where a list belongs", "`[one, another]`, or a line `- one` for each");
            return;
        }
        if (sequence.items().isEmpty() && !list.mayBeEmpty()) {
            fault(value, "the list is empty", "name at least one");
        }
        if (sequence.items().size() > MOST_ITEMS) {
            fault(value, "holds " + sequence.items().size() + " items", "at most " + MOST_ITEMS);
            return;
        }
        sequence.items().forEach(item -> any(item, list.item()));
    }

    private void map(Value value, MapOf map) {
        if (!(value instanceof Mapping mapping)) {
            fault(value, "is " + value.kind() + " where sections under names belong", "`name:` with its keys below");
            return;
        }
        if (mapping.keys().isEmpty() && !map.mayBeEmpty()) {
            fault(value, "names nothing", "name at least one");
        }
        mapping.keys().forEach((name, place) -> {
            String wrong = wrong(name, Schema.plain(map.name()));
            if (wrong != null) {
                faults.add(place, join(value.path(), name), "the name " + wrong, map.name().description);
            }
            if (mapping.values().get(name) != null) {
                any(mapping.values().get(name), map.item());
            }
        });
    }

    private void section(Value value, Section section) {
        if (value instanceof Scalar scalar && scalar.blank()) {
            value = new Mapping(value.place(), value.path(), java.util.Map.of(), java.util.Map.of());
        }
        if (!(value instanceof Mapping mapping)) {
            fault(value, "is " + value.kind() + " where a section belongs", "keys: " + names(section));
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
                faults.add(place, join(mapping.path(), name), "says nothing",
                    key.required() ? describe(key.schema()) : describe(key.schema()) + ", or leave the key out");
            } else if (mapping.values().get(name) != null) {
                any(mapping.values().get(name), key.schema());
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

    // ---- plain values ----

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

    /** What is wrong with a text as a value of this kind; null where it is sound. */
    static String wrong(String text, ScalarSchema plain) {
        String shown = new Scalar(null, "", text, true).kind();
        if (text.length() > LONGEST_TEXT) {
            return "is " + text.length() + " characters long";
        }
        return switch (plain.kind()) {
            case TEXT -> text.isEmpty() || text.chars().anyMatch(c -> c < ' ') ? "is empty or holds control characters" : null;
            case NAME -> NAME.matcher(text).matches() ? null : "is no name: " + shown;
            case LABEL -> NAME.matcher(text).matches() && text.length() <= 30 && !text.contains("--") ? null : "is no name: " + shown;
            case WORD -> plain.words().contains(text) ? null : "unknown word " + shown;
            case PORT -> bounded(text, WHOLE, 1, 65535, shown, "port");
            case COUNT -> bounded(text, WHOLE, plain.min(), plain.max(), shown, "whole number");
            case NUMBER -> bounded(text, NUMBER, plain.min(), plain.max(), shown, "number");
            case ADDRESS -> HostPort.parse(text) == null ? "is no address: " + shown : null;
            case IP -> Ip.parse(text) == null ? "is no IP address: " + shown : null;
            case PREFIX -> Ip.prefix(text) == null ? "is no prefix, or has bits behind its length: " + shown : null;
            case COMMUNITY -> Ip.community(text) == null ? "is no community: " + shown : null;
            case SPAN -> amount(Units.parseSpan(text), plain, shown, "time");
            case SIZE -> amount(Units.parseSize(text), plain, shown, "size");
            case FLAG -> text.equals("true") || text.equals("false") ? null : "is neither true nor false: " + shown;
            case PATH -> PATH.matcher(text).matches() && !dotted(text) ? null : "is no path: " + shown;
            case METHOD -> METHODS.contains(text) ? null : "is no method: " + shown;
            case HEADER -> TOKEN.matcher(text).matches() ? null : "is no header name: " + shown;
            case PROCEDURE -> PROCEDURE.matcher(text).matches() ? null : "is no procedure: " + shown;
            case HOST -> HOST.matcher(text.startsWith("*.") ? text.substring(2) : text).matches() ? null
                : "is no host name: " + shown;
        };
    }

    private static boolean dotted(String path) {
        return path.contains("//") || path.contains("/./") || path.contains("/../") || path.endsWith("/.")
            || path.endsWith("/..");
    }

    private static String bounded(String text, Pattern form, double least, double most, String shown, String what) {
        if (!form.matcher(text).matches()) {
            return "is no " + what + ": " + shown;
        }
        double number = Double.parseDouble(text);
        return number < least ? "is too small: " + shown : number > most ? "is too large: " + shown : null;
    }

    private static String amount(long amount, ScalarSchema plain, String shown, String what) {
        if (amount < 0) {
            return "is no " + what + " with a unit: " + shown;
        }
        return amount < plain.min() ? "is too small: " + shown : amount > plain.max() ? "is too large: " + shown : null;
    }

    private static String hint(String text, ScalarSchema plain) {
        if (WHOLE.matcher(text).matches() && plain.kind() == Schema.Kind.SPAN) {
            return "a unit: `" + text + " ms` or `" + text + " s`? " + describe(plain);
        }
        if (WHOLE.matcher(text).matches() && plain.kind() == Schema.Kind.SIZE) {
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

    static String describe(Schema shape) {
        if (shape instanceof ScalarSchema plain) {
            if (plain.kind() == Schema.Kind.WORD) {
                return "one of " + String.join(", ", plain.words());
            }
            return plain.kind().description + bounds(plain);
        }
        return shape instanceof ListOf list ? "a list; each: " + describe(list.item())
            : shape instanceof ScalarOrSection either ? describe(either.scalar()) + ", or its section"
            : shape instanceof MapOf ? "sections under names" : "a section";
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

    // ---- the nearest word ----

    private static String nearest(String name, Section section) {
        return SpellingSuggestions.nearest(name, section.keys().stream().map(Key::name).toList());
    }
}
