package onyxpaddle.drill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.drill.Event.Type;

/**
 * Judges a history by the four rules, over all processes together. It goes by causes and by the order of lines; where an interval is
 * judged, by the clock of the one process that wrote them all, with a bound that says what it is made of. Does no I/O.
 */
public final class HistoryCheck {
    /**
     * How late a line may be written after what it tells of, on a busy machine: the loops of callers and boxes are
     * other threads of the process that writes. Bounds below add it; a breach by less than it is not seen.
     */
    static final long WRITING_MS = 1_000;
    /** Beyond the budget of a cold box, for arrivals that fall together: so many, and this part of it. */
    static final double CHANCE_CALLS = 5;
    static final double CHANCE_PART = 0.1;

    /** One breach and the lines that led there. */
    public record Breach(String rule, String what, List<Event> lines) {
        public Breach {
            lines = List.copyOf(lines);
        }
    }

    /** What was found; {@code excused}: requests without an answer whose node was killed or stood still meanwhile. */
    public record Verdict(List<Breach> breaches, int requests, int answered, int excused, int runs) {
        public Verdict {
            breaches = List.copyOf(breaches);
        }
    }

    private static final class Request {
        final List<Event> lines = new ArrayList<>();
        Event sent;
        final List<Event> answers = new ArrayList<>();
        Event ended;
        Event came;
        int runs;
    }

    private final List<Event> events;
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<String, List<Event>> nodes = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    /** How late what a node sent may come to a box: the longest delay and the longest hold of any link. */
    private long late = WRITING_MS;
    private long drainGrace;
    private double multiple;
    private long window;

    private HistoryCheck(List<Event> events) {
        this.events = events;
    }

    /** Judges a whole history. */
    public static Verdict check(List<Event> events) {
        return new HistoryCheck(events).all();
    }

    private Verdict all() {
        if (events.isEmpty() || events.get(0).type() != Type.DRILL || events.get(events.size() - 1).type() != Type.END) {
            breach("whole", "the history has no begin or no end: the drill broke off", events.subList(Math.max(0, events.size() - 3), events.size()));
        } else {
            Event begin = events.get(0);
            late += begin.number("latest");
            drainGrace = begin.number("drain-grace");
            multiple = begin.number("cold-multiple");
            window = begin.number("cold-window");
        }
        for (Event e : events) {
            if (e.type() == Type.NODE) {
                nodes.computeIfAbsent(e.get("node"), n -> new ArrayList<>()).add(e);
            }
            if (!e.get("id").isEmpty()) {
                collect(requests.computeIfAbsent(e.get("id"), i -> new Request()), e);
            }
        }
        int answered = 0;
        int excused = 0;
        int runs = 0;
        for (Map.Entry<String, Request> r : requests.entrySet()) {
            runs += r.getValue().runs;
            answered += r.getValue().answers.isEmpty() ? 0 : 1;
            excused += lost(r.getKey(), r.getValue()) ? 1 : 0;
            twice(r.getKey(), r.getValue());
        }
        drains();
        cold();
        return new Verdict(breaches, requests.size(), answered, excused, runs);
    }

    private static void collect(Request r, Event e) {
        if (r.lines.size() < 20) {
            r.lines.add(e);
        }
        switch (e.type()) {
            case SENT -> r.sent = e;
            case ANSWERED -> r.answers.add(e);
            case BROKEN, UNANSWERED -> r.ended = e;
            case CAME -> r.came = e;
            case RAN -> r.runs++;
            default -> { }
        }
    }

    private void breach(String rule, String what, List<Event> lines) {
        breaches.add(new Breach(rule, what, lines));
    }

    /** Rule 1; true where it has no answer and may have none. */
    private boolean lost(String id, Request r) {
        if (r.answers.size() > 1) {
            breach("1 lost", id + " has " + r.answers.size() + " final answers", r.lines);
        }
        Event answer = r.answers.isEmpty() ? null : r.answers.get(0);
        if (answer != null && answer.get("status").equals("200") && r.runs == 0) {
            breach("1 lost", id + " was served with what no box made", r.lines);
        }
        if (answer != null && r.came != null && r.came.ms() > answer.ms() + late) {
            breach("1 lost", id + " went out " + (r.came.ms() - answer.ms()) + " ms after its final answer", r.lines);
        }
        if (answer != null || r.sent == null) {
            return false;
        }
        // A process that was killed answers nothing. One that stood still may come after its client has left, but never lets go of what it took.
        long until = r.ended == null ? Long.MAX_VALUE : r.ended.ms();
        Set<String> excuses = r.ended != null && r.ended.type() == Type.UNANSWERED ? Set.of("killed", "stopped", "continued") : Set.of("killed");
        boolean hit = nodes.getOrDefault(r.sent.get("node"), List.of()).stream().anyMatch(e ->
            excuses.contains(e.get("state")) && e.ms() >= r.sent.ms() - WRITING_MS && e.ms() <= until + WRITING_MS);
        if (!hit) {
            breach("1 lost", id + " was taken and has no answer", r.lines);
        }
        return hit;
    }

    /** Rule 2. */
    private void twice(String id, Request r) {
        boolean unsafe = r.sent != null && r.sent.get("effect").equals("unsafe");
        if (unsafe && r.runs > 1) {
            breach("2 twice", id + " ran " + r.runs + " times", r.lines);
        }
        if (unsafe && r.runs > 0 && r.answers.stream().anyMatch(a -> a.get("status").equals("503") || a.get("status").equals("429"))) {
            breach("2 twice", id + " ran and was refused, so its client may try again", r.lines);
        }
    }

    /** Rule 3: from the grace on after a node was told, nothing comes from it that it sent later. */
    private void drains() {
        Map<String, Event> leaving = new HashMap<>();
        Map<String, Long> awake = new HashMap<>();
        for (Event e : events) {
            String key = e.get("node") + " " + e.get("box");
            if (e.type() == Type.TOLD) {
                if (e.get("state").equals("ready")) {
                    leaving.remove(key);
                } else {
                    leaving.putIfAbsent(key, e);
                }
            } else if (e.type() == Type.NODE && !e.get("state").equals("stopped")) {
                // One that stood still, or has just started, was told when it could read.
                awake.put(e.get("node"), e.ms());
            } else if (e.type() == Type.CAME && leaving.containsKey(key)) {
                Event told = leaving.get(key);
                long from = Math.max(told.ms(), awake.getOrDefault(e.get("node"), 0L));
                if (e.ms() > from + drainGrace + late) {
                    breach("3 drain", e.get("node") + " sent to " + e.get("box") + " " + (e.ms() - told.ms()) + " ms after it was told that it is "
                        + told.get("state"), List.of(told, e));
                }
            }
        }
    }

    /** Rule 4: in any window of the stated length a cold box gets at most the multiple of its present capacity, from all nodes. */
    private void cold() {
        Map<String, Event> started = new HashMap<>();
        Map<String, List<Event>> came = new HashMap<>();
        for (Event e : events) {
            String box = e.get("box");
            if (e.type() == Type.BOX_STARTED) {
                started.put(box, e);
                came.remove(box);
            } else if (e.type() == Type.CAME && started.containsKey(box)) {
                Event start = started.get(box);
                if (e.ms() - start.ms() <= start.number("cold")) {
                    List<Event> sends = came.computeIfAbsent(box, b -> new ArrayList<>());
                    sends.add(e);
                    judge(box, start, sends);
                }
            }
        }
    }

    /** The window that ends with the last send. */
    private void judge(String box, Event start, List<Event> sends) {
        Event last = sends.get(sends.size() - 1);
        while (last.ms() - sends.get(0).ms() >= window) {
            sends.remove(0);
        }
        double age = (double) (last.ms() - start.ms()) / Math.max(1, start.number("cold"));
        double from = Double.parseDouble(start.get("from"));
        double capacity = Double.parseDouble(start.get("persecond")) * Math.min(1, from + (1 - from) * age);
        double budget = multiple * capacity * window / 1_000;
        if (sends.size() > budget * (1 + CHANCE_PART) + CHANCE_CALLS) {
            breach("4 cold", box + " was sent " + sends.size() + " in " + window + " ms, " + Math.round(budget) + " are its budget",
                List.of(start, sends.get(0), last));
            sends.clear();
        }
    }
}
