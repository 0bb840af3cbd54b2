package org.wigeonferry.routing;

/** A task of a replayed load; tasks of the same time run in the order of their numbers. */
record FleetEvent(long atNanos, int number, Runnable task) implements Comparable<FleetEvent> {
    @Override
    public int compareTo(FleetEvent other) {
        int byTime = Long.compare(atNanos, other.atNanos);
        return byTime != 0 ? byTime : Integer.compare(number, other.number);
    }
}
