package onyxpaddle;

/** Token bucket for this node's part of a tenant's quota; it holds the tokens of one second. */
final class Quota {
    private final double perSecond;
    private double tokens;
    private long refilledAt;

    Quota(double perSecond) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
    }

    boolean tryAcquire(long now) {
        tokens = Math.min(Math.max(1, perSecond),
            tokens + perSecond * (refilledAt == 0 ? 0 : now - refilledAt) / 1e9);
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
