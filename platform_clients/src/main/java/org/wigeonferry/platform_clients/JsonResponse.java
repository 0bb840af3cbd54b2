package org.wigeonferry.platform_clients;

import com.fasterxml.jackson.databind.JsonNode;
import org.eclipse.jetty.http.HttpFields;

/**
 * Response of a service called through {@link JsonHttpClient}.
 *
 * <p>Thread safe if callers do not modify the body: {@link JsonNode} is mutable.
 *
 * @param status HTTP status
 * @param headers the header fields
 * @param body the parsed body, or a missing node if it was not valid JSON
 */
public record JsonResponse(int status, HttpFields headers, JsonNode body) {}
