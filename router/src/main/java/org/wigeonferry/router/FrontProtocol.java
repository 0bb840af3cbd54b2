package org.wigeonferry.router;

/**
 * How requests and answers are written on the wire.
 *
 * <p>Immutable and thread safe.
 */
public record FrontProtocol(RequestDecoder requests, SendEncoder sends, AnswerDecoder answers) {}
