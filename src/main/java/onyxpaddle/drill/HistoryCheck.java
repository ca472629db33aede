package onyxpaddle.drill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.drill.Event.Type;

/**
 * Checks a history against the four rules, over all processes together. It relies on causality and the order of lines. Where an
 * interval matters, it uses the clock of the one process that wrote all lines, with a documented tolerance. Does no I/O.
 */
public final class HistoryCheck {
    /**
     * The longest delay between an event and its line on a busy machine: the event loops of clients and boxes are other threads of the
     * process that writes. It is added to the bounds below, so that a breach by less goes undetected.
     */
    static final long RECORDING_DELAY_MS = 1_000;
    /** Tolerance for random bursts above the budget of a cold box: this number of requests plus this fraction of the budget. */
    static final double BURST_REQUESTS = 5;
    static final double BURST_FRACTION = 0.1;

    /** A breach of a rule, with the lines that show it. */
    public record Breach(String rule, String what, List<Event> lines) {
        public Breach {
            lines = List.copyOf(lines);
        }
    }

    /** The result; {@code excused} counts requests without an answer whose node was killed or suspended meanwhile. */
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
        Event received;
        int runs;
    }

    private final List<Event> events;
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<String, List<Event>> nodes = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    /** How long after a node sent a request it may reach a box: the recording delay plus the longest delay by any fault. */
    private long maxArrivalDelay = RECORDING_DELAY_MS;
    private long drainGrace;
    private double coldMultiple;
    private long coldWindow;

    private HistoryCheck(List<Event> events) {
        this.events = events;
    }

    public static Verdict check(List<Event> events) {
        return new HistoryCheck(events).checkAll();
    }

    private Verdict checkAll() {
        if (events.isEmpty() || events.get(0).type() != Type.DRILL || events.get(events.size() - 1).type() != Type.END) {
            breach("whole", "the history lacks its first or last line: the drill did not finish",
                events.subList(Math.max(0, events.size() - 3), events.size()));
        } else {
            Event begin = events.get(0);
            maxArrivalDelay += begin.number("latest");
            drainGrace = begin.number("drain-grace");
            coldMultiple = begin.number("cold-multiple");
            coldWindow = begin.number("cold-window");
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
            excused += checkAnswer(r.getKey(), r.getValue()) ? 1 : 0;
            checkExecutions(r.getKey(), r.getValue());
        }
        checkDrains();
        checkColdBoxes();
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
            case CAME -> r.received = e;
            case RAN -> r.runs++;
            default -> { }
        }
    }

    private void breach(String rule, String what, List<Event> lines) {
        breaches.add(new Breach(rule, what, lines));
    }

    /** Rule 1. Returns true if the request has no answer and is excused. */
    private boolean checkAnswer(String id, Request r) {
        if (r.answers.size() > 1) {
            breach("1 lost", id + " has " + r.answers.size() + " final answers", r.lines);
        }
        Event answer = r.answers.isEmpty() ? null : r.answers.get(0);
        if (answer != null && answer.get("status").equals("200") && r.runs == 0) {
            breach("1 lost", id + " was answered with 200, but no box executed it", r.lines);
        }
        if (answer != null && r.received != null && r.received.ms() > answer.ms() + maxArrivalDelay) {
            breach("1 lost", id + " reached a box " + (r.received.ms() - answer.ms()) + " ms after its final answer", r.lines);
        }
        if (answer != null || r.sent == null) {
            return false;
        }
        // A killed process cannot answer. A suspended one may answer after its client gave up, but must not drop a request that it
        // accepted.
        long until = r.ended == null ? Long.MAX_VALUE : r.ended.ms();
        Set<String> excuses = r.ended != null && r.ended.type() == Type.UNANSWERED
            ? Set.of("killed", "stopped", "continued") : Set.of("killed");
        boolean excused = nodes.getOrDefault(r.sent.get("node"), List.of()).stream().anyMatch(e ->
            excuses.contains(e.get("state")) && e.ms() >= r.sent.ms() - RECORDING_DELAY_MS && e.ms() <= until + RECORDING_DELAY_MS);
        if (!excused) {
            breach("1 lost", id + " was accepted and has no answer", r.lines);
        }
        return excused;
    }

    /** Rule 2. */
    private void checkExecutions(String id, Request r) {
        boolean unsafe = r.sent != null && r.sent.get("effect").equals("unsafe");
        if (unsafe && r.runs > 1) {
            breach("2 twice", id + " was executed " + r.runs + " times", r.lines);
        }
        if (unsafe && r.runs > 0 && r.answers.stream().anyMatch(a -> a.get("status").equals("503") || a.get("status").equals("429"))) {
            breach("2 twice", id + " was executed and refused, so that its client may retry it", r.lines);
        }
    }

    /** Rule 3: once the drain grace has passed after a node learnt of a drain, it sends nothing new to the box. */
    private void checkDrains() {
        Map<String, Event> draining = new HashMap<>();
        Map<String, Long> runningSince = new HashMap<>();
        for (Event e : events) {
            String key = e.get("node") + " " + e.get("box");
            if (e.type() == Type.TOLD) {
                if (e.get("state").equals("ready")) {
                    draining.remove(key);
                } else {
                    draining.putIfAbsent(key, e);
                }
            } else if (e.type() == Type.NODE && !e.get("state").equals("stopped")) {
                // A node that was suspended or has just started learns of the drain when it can read the list.
                runningSince.put(e.get("node"), e.ms());
            } else if (e.type() == Type.CAME && draining.containsKey(key)) {
                Event told = draining.get(key);
                long from = Math.max(told.ms(), runningSince.getOrDefault(e.get("node"), 0L));
                if (e.ms() > from + drainGrace + maxArrivalDelay) {
                    breach("3 drain", e.get("node") + " sent to " + e.get("box") + " "
                        + (e.ms() - told.ms()) + " ms after the list reported it as "
                        + told.get("state"), List.of(told, e));
                }
            }
        }
    }

    /** Rule 4: in any window of the configured length a cold box receives at most the configured multiple of its current capacity. */
    private void checkColdBoxes() {
        Map<String, Event> started = new HashMap<>();
        Map<String, List<Event>> received = new HashMap<>();
        for (Event e : events) {
            String box = e.get("box");
            if (e.type() == Type.BOX_STARTED) {
                started.put(box, e);
                received.remove(box);
            } else if (e.type() == Type.CAME && started.containsKey(box)) {
                Event start = started.get(box);
                if (e.ms() - start.ms() <= start.number("cold")) {
                    List<Event> requestsInWindow = received.computeIfAbsent(box, b -> new ArrayList<>());
                    requestsInWindow.add(e);
                    checkWindow(box, start, requestsInWindow);
                }
            }
        }
    }

    /** Checks the window that ends with the last request. */
    private void checkWindow(String box, Event start, List<Event> requestsInWindow) {
        Event last = requestsInWindow.get(requestsInWindow.size() - 1);
        while (last.ms() - requestsInWindow.get(0).ms() >= coldWindow) {
            requestsInWindow.remove(0);
        }
        double age = (double) (last.ms() - start.ms()) / Math.max(1, start.number("cold"));
        double from = Double.parseDouble(start.get("from"));
        double capacity = Double.parseDouble(start.get("persecond")) * Math.min(1, from + (1 - from) * age);
        double budget = coldMultiple * capacity * coldWindow / 1_000;
        if (requestsInWindow.size() > budget * (1 + BURST_FRACTION) + BURST_REQUESTS) {
            breach("4 cold", box + " received " + requestsInWindow.size() + " requests in "
                + coldWindow + " ms; its budget is " + Math.round(budget),
                List.of(start, requestsInWindow.get(0), last));
            requestsInWindow.clear();
        }
    }
}
