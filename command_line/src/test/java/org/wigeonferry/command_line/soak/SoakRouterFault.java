package org.wigeonferry.command_line.soak;

import org.wigeonferry.core_types.StepException;

/** A fault of one router, from its begin to its end. */
@FunctionalInterface
interface SoakRouterFault {
    void play(SoakRouter router) throws StepException, InterruptedException;
}
