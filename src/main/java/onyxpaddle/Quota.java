package onyxpaddle;

/** This node's part of a tenant's quota, as a bucket of one second. */
final class Quota {
    private final double perSecond;
    private double left;
    private long at;

    Quota(double perSecond) {
        this.perSecond = perSecond;
        this.left = perSecond;
    }

    boolean take(long now) {
        left = Math.min(Math.max(1, perSecond), left + perSecond * (at == 0 ? 0 : now - at) / 1e9);
        at = now;
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }
}
