package org.wigeonferry.routing;

/**
 * A part of a prompt that upstreams can cache and that several requests may share.
 *
 * <p>Immutable and thread safe.
 *
 * @param id id that the caller gives to the part; equal ids are taken for equal text
 * @param tokens number of tokens in the part
 */
public record PromptPart(String id, int tokens) {}
