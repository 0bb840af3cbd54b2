package org.wigeonferry.command_line.soak;

/**
 * One request of a caller and its end.
 *
 * <p>Immutable.
 *
 * @param router index of the router that it went to
 * @param sentMillis when it was written, in milliseconds of the soak
 * @param endMillis when its connection ended
 */
record SoakCall(
        String id,
        SoakKind kind,
        String key,
        int router,
        long sentMillis,
        long endMillis,
        SoakAnswer answer) {}
