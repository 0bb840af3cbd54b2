package org.wigeonferry.settings;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.wigeonferry.core_types.HostAddress;

/**
 * Creates setting keys for the value types that several processes use.
 *
 * <p>Stateless and thread safe.
 */
public final class SettingKeyFactory {
    private SettingKeyFactory() {}

    /** Returns a required key with any text as its value. */
    public static SettingKey<String> textKey(String section, String name, String description) {
        return new SettingKey<>(section, name, "text", Optional.empty(), description, text -> text);
    }

    /** Returns an optional key with any text as its value. */
    public static SettingKey<String> textKey(
            String section, String name, String defaultText, String description) {
        return new SettingKey<>(
                section, name, "text", Optional.of(defaultText), description, text -> text);
    }

    /** Returns an optional key with a whole number from {@code min} to {@code max}. */
    public static SettingKey<Integer> integerKey(
            String section, String name, int min, int max, int defaultValue, String description) {
        return new SettingKey<>(
                section,
                name,
                "whole number from " + min + " to " + max,
                Optional.of(Integer.toString(defaultValue)),
                description,
                text -> requireInRange(Integer.parseInt(text), min, max));
    }

    /** Returns an optional key with a duration of {@code min} to {@code max} milliseconds. */
    public static SettingKey<Duration> millisKey(
            String section, String name, int min, int max, int defaultValue, String description) {
        return new SettingKey<>(
                section,
                name,
                "milliseconds from " + min + " to " + max,
                Optional.of(Integer.toString(defaultValue)),
                description,
                text -> Duration.ofMillis(requireInRange(Integer.parseInt(text), min, max)));
    }

    /** Returns an optional key with a decimal number from {@code min} to {@code max}. */
    public static SettingKey<Double> decimalKey(
            String section,
            String name,
            double min,
            double max,
            double defaultValue,
            String description) {
        return new SettingKey<>(
                section,
                name,
                "decimal number from " + min + " to " + max,
                Optional.of(Double.toString(defaultValue)),
                description,
                text -> requireInRange(Double.parseDouble(text), min, max));
    }

    /** Returns an optional key that is {@code true} or {@code false}. */
    public static SettingKey<Boolean> booleanKey(
            String section, String name, boolean defaultValue, String description) {
        return new SettingKey<>(
                section,
                name,
                "true or false",
                Optional.of(Boolean.toString(defaultValue)),
                description,
                SettingKeyFactory::parseBoolean);
    }

    /** Returns a required key with an address. */
    public static SettingKey<HostAddress> addressKey(
            String section, String name, String description) {
        return new SettingKey<>(
                section, name, "host:port", Optional.empty(), description, HostAddress::parse);
    }

    /** Returns an optional key with a list of addresses, empty by default. */
    public static SettingKey<List<HostAddress>> addressListKey(
            String section, String name, String description) {
        return new SettingKey<>(
                section,
                name,
                "host:port, separated by commas",
                Optional.of(""),
                description,
                text -> splitAtCommas(text).stream().map(HostAddress::parse).toList());
    }

    /** Splits a text at its commas, strips each part and leaves out empty parts. */
    public static List<String> splitAtCommas(String text) {
        return Arrays.stream(text.split(","))
                .map(String::strip)
                .filter(part -> !part.isEmpty())
                .toList();
    }

    private static int requireInRange(int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException("number out of range");
        }
        return value;
    }

    private static double requireInRange(double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException("number out of range");
        }
        return value;
    }

    private static boolean parseBoolean(String text) {
        return switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException("neither true nor false");
        };
    }
}
