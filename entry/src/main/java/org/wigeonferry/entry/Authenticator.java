package org.wigeonferry.entry;

import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.node_runtime.Secrets;

/**
 * Finds the client account of a request by its API key.
 *
 * <p>A key has the form {@code account.secret}; the catalog has salted digests of whole keys.
 * Stateless and thread safe.
 */
final class Authenticator {
    private static final String BEARER_PREFIX = "Bearer ";

    private Authenticator() {}

    /** The account whose API key the request carries; empty if the key is missing or wrong. */
    static Optional<ClientAccount> authenticate(Request request, Catalog catalog) {
        return bearerToken(request)
                .flatMap(
                        key ->
                                accountNamedIn(key, catalog)
                                        .filter(account -> keyMatches(account, key)));
    }

    /** The bearer token of the request's {@code Authorization} header. */
    static Optional<String> bearerToken(Request request) {
        return Optional.ofNullable(request.getHeaders().get(HttpHeader.AUTHORIZATION))
                .filter(value -> value.startsWith(BEARER_PREFIX))
                .map(value -> value.substring(BEARER_PREFIX.length()).strip());
    }

    private static Optional<ClientAccount> accountNamedIn(String key, Catalog catalog) {
        int separator = key.lastIndexOf('.');
        if (separator < 1) {
            return Optional.empty();
        }
        try {
            return catalog.account(new AccountId(key.substring(0, separator)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static boolean keyMatches(ClientAccount account, String key) {
        return account.keyDigests().stream().anyMatch(digest -> Secrets.matchesDigest(digest, key));
    }
}
