package org.wigeonferry.command_line.soak;

/** What a request of the soak may bear. */
enum SoakKind {
    /** May run once only. */
    BOOK,
    /** May run again. */
    LOOK,
    /** Streams numbered events; may go on at another upstream. */
    CHAT;

    String path() {
        return "/" + name().toLowerCase(java.util.Locale.ROOT) + "/x";
    }

    /** The kind of a path. */
    static SoakKind of(String path) {
        return valueOf(path.split("/")[1].toUpperCase(java.util.Locale.ROOT));
    }
}
