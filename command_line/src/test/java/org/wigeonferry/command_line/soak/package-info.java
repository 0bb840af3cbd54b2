/** A fault soak of the platform's router: real processes, stand-ins, faulty links and clients. */
package org.wigeonferry.command_line.soak;
