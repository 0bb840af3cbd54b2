package org.wigeonferry.entry;

import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.node_runtime.Secrets;

/**
 * Finds the client account of a request by its key.
 *
 * <p>A key reads {@code account.secret}; the catalog holds salted digests of whole keys. Stateless
 * and thread safe.
 */
final class Authenticator {
    private static final String BEARER = "Bearer ";

    private Authenticator() {}

    /** The account whose key the request carries. */
    static Optional<ClientAccount> authenticate(Request request, Catalog catalog) {
        return bearerToken(request)
                .flatMap(key -> named(key, catalog).filter(account -> owns(account, key)));
    }

    /** The bearer token of a request. */
    static Optional<String> bearerToken(Request request) {
        return Optional.ofNullable(request.getHeaders().get(HttpHeader.AUTHORIZATION))
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()).strip());
    }

    private static Optional<ClientAccount> named(String key, Catalog catalog) {
        int split = key.lastIndexOf('.');
        if (split < 1) {
            return Optional.empty();
        }
        try {
            return catalog.account(new AccountId(key.substring(0, split)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static boolean owns(ClientAccount account, String key) {
        return account.keyDigests().stream().anyMatch(digest -> Secrets.matchesDigest(digest, key));
    }
}
