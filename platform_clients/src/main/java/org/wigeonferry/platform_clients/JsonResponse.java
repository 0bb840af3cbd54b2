package org.wigeonferry.platform_clients;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Answer of a service that speaks JSON.
 *
 * <p>Thread safe as long as nobody alters the body.
 *
 * @param status HTTP status
 * @param body the body, or a missing node if it wasn't JSON
 */
public record JsonResponse(int status, JsonNode body) {}
