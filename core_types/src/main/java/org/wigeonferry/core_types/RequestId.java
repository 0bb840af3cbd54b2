package org.wigeonferry.core_types;

/**
 * Identifies one request of one client account; the caller may choose it.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 128 letters, digits, dots, underscores, colons and dashes
 */
public record RequestId(String value) {
    public RequestId {

        IdentifierChecks.requireRequestId("client request", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
