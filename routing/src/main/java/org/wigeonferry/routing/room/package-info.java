/**
 * Whether an upstream has room for one more request, in places and in tokens of memory.
 *
 * <p>Inputs: the upstream's capacity, what this router and the others of its zone hold there, and
 * the number of routers. Output: whether a request fits. No I/O, no clock. Caller: {@code
 * LoadAdmission} of {@link org.wigeonferry.routing}.
 */
package org.wigeonferry.routing.room;
