package org.wigeonferry.decisions;

import java.util.Optional;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.RequestClassId;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.VersionId;

/**
 * Properties of a request by which a {@link StagePolicy} chooses its stages.
 *
 * <p>Immutable and thread safe.
 *
 * @param account the client account that sent the request
 * @param requestId the request; its hash decides which partially exposed versions it may reach
 * @param requestClass the request class, which sets the quality target
 * @param requestedModel the model or version that the caller asked for; empty if any may answer
 * @param sessionVersion the version that the caller's session is bound to
 * @param singleStage whether only the first stage can run, since an answer that is streamed to the
 *     caller can't be replaced by that of a later stage; {@link CascadePolicy} ignores it
 */
public record StageQuery(
        ClientAccount account,
        RequestId requestId,
        RequestClassId requestClass,
        Optional<String> requestedModel,
        Optional<VersionId> sessionVersion,
        boolean singleStage) {}
