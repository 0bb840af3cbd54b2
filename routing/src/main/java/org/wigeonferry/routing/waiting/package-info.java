/**
 * The queue of requests that wait for room at the upstreams of a service: whether a request may
 * wait, in which order requests leave the queue, and when a refused caller should come back.
 *
 * <p>Inputs: the requests, the engine time that accounts have used, and how fast sends end. No I/O,
 * no clock. Caller: {@code LoadAdmission} of {@link org.wigeonferry.routing}.
 */
package org.wigeonferry.routing.waiting;
