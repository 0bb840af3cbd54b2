package org.wigeonferry.command_line.soak;

/** Begins a fault. */
@FunctionalInterface
interface SoakFault {
    void begin();
}
