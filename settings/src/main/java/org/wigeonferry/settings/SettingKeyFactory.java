package org.wigeonferry.settings;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.wigeonferry.core_types.HostAddress;

/**
 * Makes keys of the usual types.
 *
 * <p>Stateless and thread safe.
 */
public final class SettingKeyFactory {
    private SettingKeyFactory() {}

    /** A text without a default. */
    public static SettingKey<String> textKey(String section, String name, String doc) {
        return new SettingKey<>(section, name, "text", Optional.empty(), doc, text -> text);
    }

    /** A text with a default. */
    public static SettingKey<String> textKey(
            String section, String name, String defaultText, String doc) {
        return new SettingKey<>(section, name, "text", Optional.of(defaultText), doc, text -> text);
    }

    /** A whole number in a range. */
    public static SettingKey<Integer> integerKey(
            String section, String name, int min, int max, int defaultValue, String doc) {
        return new SettingKey<>(
                section,
                name,
                "whole number from " + min + " to " + max,
                Optional.of(Integer.toString(defaultValue)),
                doc,
                text -> inRange(Integer.parseInt(text), min, max));
    }

    /** A time in milliseconds. */
    public static SettingKey<Duration> millisKey(
            String section, String name, int min, int max, int defaultValue, String doc) {
        return new SettingKey<>(
                section,
                name,
                "milliseconds from " + min + " to " + max,
                Optional.of(Integer.toString(defaultValue)),
                doc,
                text -> Duration.ofMillis(inRange(Integer.parseInt(text), min, max)));
    }

    /** A decimal number in a range. */
    public static SettingKey<Double> decimalKey(
            String section, String name, double min, double max, double defaultValue, String doc) {
        return new SettingKey<>(
                section,
                name,
                "decimal number from " + min + " to " + max,
                Optional.of(Double.toString(defaultValue)),
                doc,
                text -> inRange(Double.parseDouble(text), min, max));
    }

    /** A switch. */
    public static SettingKey<Boolean> booleanKey(
            String section, String name, boolean defaultValue, String doc) {
        return new SettingKey<>(
                section,
                name,
                "true or false",
                Optional.of(Boolean.toString(defaultValue)),
                doc,
                SettingKeyFactory::parseFlag);
    }

    /** An address without a default. */
    public static SettingKey<HostAddress> addressKey(String section, String name, String doc) {
        return new SettingKey<>(
                section, name, "host:port", Optional.empty(), doc, HostAddress::parse);
    }

    /** Addresses, none by default. */
    public static SettingKey<List<HostAddress>> addressListKey(
            String section, String name, String doc) {
        return new SettingKey<>(
                section,
                name,
                "host:port, separated by commas",
                Optional.of(""),
                doc,
                text -> splitAtCommas(text).stream().map(HostAddress::parse).toList());
    }

    /** Cuts a text at its commas. */
    public static List<String> splitAtCommas(String text) {
        return Arrays.stream(text.split(","))
                .map(String::strip)
                .filter(word -> !word.isEmpty())
                .toList();
    }

    private static int inRange(int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException("out of range");
        }
        return value;
    }

    private static double inRange(double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException("out of range");
        }
        return value;
    }

    private static boolean parseFlag(String text) {
        return switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException("neither true nor false");
        };
    }
}
