package org.wigeonferry.router;

import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.Send;

/** A send of {@link PressureFleet} at an engine. */
record PressureSend(PressureRouter router, PressureCall call, Job job, Send send) {}
