package org.wigeonferry.node_runtime.ingress;

/**
 * Limits on a head: its fields, and the requests that come ahead of responses.
 *
 * <p>Handles the loads of heads made of very many short fields and of pipelined requests. Immutable
 * and thread safe.
 *
 * @param headerFields largest number of fields of a head
 * @param pipelinedRequests largest number of requests ahead of responses on a connection
 */
record HeadLimits(int headerFields, int pipelinedRequests) {
    /** Memory of a parsed field beyond its characters: the field, two strings and their arrays. */
    private static final int FIELD_OVERHEAD_BYTES = 128;

    boolean allowsFields(int count) {
        return count <= headerFields;
    }

    boolean allowsPipelined(int count) {
        return count <= pipelinedRequests;
    }

    /** Memory that a field takes. */
    static long fieldBytes(int characters) {
        return FIELD_OVERHEAD_BYTES + (long) characters;
    }
}
