/**
 * Tests that play groups of abusive or slow callers against real processes with a small heap and
 * few file descriptors. They check that the process lives, stays within its memory and descriptors,
 * and answers an ordinary request afterwards; they check no times and no shares.
 */
package org.wigeonferry.command_line.ingress;
