package org.wigeonferry.routing;

/** A send whose prompt an engine has read at the given time. */
record PlacedSend(RoutingState router, Job job, Send send, long readNanos) {}
