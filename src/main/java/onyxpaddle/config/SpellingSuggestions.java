package onyxpaddle.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Suggests the intended word for a misspelt one. */
public final class SpellingSuggestions {
    private SpellingSuggestions() {
    }

    /** Returns the word with the smallest edit distance, or null if none is near enough. */
    public static String nearest(String text, List<String> words) {
        String best = null;
        int least = Math.max(1, Math.min(3, text.length() / 2)) + 1;
        for (String word : new ArrayList<>(words)) {
            int distance = text.length() > 60 ? 99 : distance(text.toLowerCase(Locale.ROOT).replace('_', '-'), word);
            if (distance < least) {
                least = distance;
                best = word;
            }
        }
        return best;
    }

    /** Optimal string alignment distance: insertions, deletions, substitutions and transpositions. */
    private static int distance(String a, String b) {
        int[][] d = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            for (int j = 0; j <= b.length(); j++) {
                if (i == 0 || j == 0) {
                    d[i][j] = i + j;
                    continue;
                }
                int change = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                d[i][j] = Math.min(Math.min(d[i - 1][j] + 1, d[i][j - 1] + 1), d[i - 1][j - 1] + change);
                if (i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1)) {
                    d[i][j] = Math.min(d[i][j], d[i - 2][j - 2] + 1);
                }
            }
        }
        return d[a.length()][b.length()];
    }
}
