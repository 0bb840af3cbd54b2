package org.wigeonferry.measurements;

/**
 * A page with places for measured figures.
 *
 * <p>Not thread safe.
 */
final class CapacityPage {
    private String text;

    CapacityPage(String template) {
        text = template;
    }

    /** Fills a place. */
    void put(String name, String value) {
        text = text.replace("${" + name + "}", value.stripTrailing());
    }

    String text() {
        return text;
    }
}
