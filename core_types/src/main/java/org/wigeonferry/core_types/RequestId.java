package org.wigeonferry.core_types;

/**
 * Names one request of one client account; the caller may choose it.
 *
 * <p>Immutable and thread safe.
 *
 * @param value printable, at most 128 characters
 */
public record RequestId(String value) {
    public RequestId {

        IdentifierChecks.requireRequestId("request id", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
