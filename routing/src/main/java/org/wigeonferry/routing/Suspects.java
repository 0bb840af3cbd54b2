package org.wigeonferry.routing;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Names of what may make a request crash upstreams: all of it, by its digest, or a part of its
 * prompt. The last part belongs to one request or session, which its digest stands for.
 *
 * <p>Stateless and thread safe.
 */
final class Suspects {
    /** Longer ids, which callers choose, are shortened, so that a report stays small. */
    private static final int MAX_ID_LENGTH = 64;

    private static final String DIGEST_PREFIX = "digest:";
    private static final String PART_PREFIX = "part:";

    private Suspects() {}

    /** The suspects of a request. */
    static List<String> of(String digest, List<PromptPart> parts) {
        List<String> suspects =
                parts.stream()
                        .limit(Math.max(0, parts.size() - 1))
                        .map(part -> ofPart(part.id()))
                        .distinct()
                        .collect(Collectors.toList());
        suspects.add(ofDigest(digest));
        return suspects;
    }

    static String ofDigest(String digest) {
        return DIGEST_PREFIX + digest;
    }

    static String ofPart(String id) {
        String name =
                id.length() <= MAX_ID_LENGTH
                        ? id
                        : id.substring(0, MAX_ID_LENGTH)
                                + '#'
                                + Integer.toHexString(Hashes.key(id));
        return PART_PREFIX + name;
    }

    /** Whether a request with some suspects holds all parts among others. */
    static boolean holdAllParts(Collection<String> suspects, Set<String> others) {
        return others.stream()
                .filter(other -> other.startsWith(PART_PREFIX))
                .allMatch(suspects::contains);
    }
}
