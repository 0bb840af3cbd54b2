package org.wigeonferry.command_line;

import org.wigeonferry.core_types.StepException;
import org.wigeonferry.platform_clients.JsonResponse;

/**
 * Applies release notes as an operator does.
 *
 * <p>Stateless and thread safe.
 */
public final class DemoOperator {
    private static final int OK = 200;

    private DemoOperator() {}

    /** Applies a note through an entry; fails unless it is committed. */
    public static JsonResponse apply(DemoEntry entry, String note) throws StepException {
        try (AdminClient admin = new AdminClient(entry.admins(), DemoFiles.ADMIN_KEY)) {
            JsonResponse reply = admin.postNote(note, false);
            if (reply.status() != OK) {
                throw new StepException("apply note", entry.name(), reply.body().toString());
            }
            return reply;
        }
    }
}
