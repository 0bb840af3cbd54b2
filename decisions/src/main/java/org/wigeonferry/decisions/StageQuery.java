package org.wigeonferry.decisions;

import java.util.Optional;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.RequestClassId;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.VersionId;

/**
 * Asks which versions may answer a request, in which order.
 *
 * <p>Immutable and thread safe.
 *
 * @param account the client account that asks
 * @param requestId the request
 * @param requestClass the class whose quality target counts
 * @param requestedModel the model or version that the caller asked for; empty if the router chooses
 * @param sessionVersion the version to which the caller's session holds
 * @param singleStage whether the first stage must do, since its answer can't be taken back
 */
public record StageQuery(
        ClientAccount account,
        RequestId requestId,
        RequestClassId requestClass,
        Optional<String> requestedModel,
        Optional<VersionId> sessionVersion,
        boolean singleStage) {}
