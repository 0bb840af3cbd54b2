package org.wigeonferry.node_runtime.ingress;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import org.wigeonferry.settings.SettingKey;
import org.wigeonferry.settings.SettingKeyFactory;
import org.wigeonferry.settings.Settings;

/**
 * Keys of the settings that limit what callers may hold, for all processes.
 *
 * <p>Immutable and thread safe.
 */
public final class IngressKeys {
    private static final int DEFAULT_CONNECTIONS = 1000;
    private static final int DEFAULT_HEAP_PERCENT = 25;

    /** A field takes at least 4 bytes, so a head of 16 KiB has no more fields. */
    private static final int DEFAULT_HEADER_FIELDS = 4096;

    private static final int DEFAULT_PIPELINED_REQUESTS = 1000;
    private static final int DEFAULT_BYTES_PER_SECOND = 1024;
    private static final int MAX_COUNT = 1_000_000;

    /** Largest number of open connections. */
    public static final SettingKey<Integer> CONNECTIONS =
            integer(
                    "max-connections",
                    DEFAULT_CONNECTIONS,
                    "Open connections of callers; a third of the file descriptors if that is less.");

    /** Part of the heap that incomplete requests, and bodies of running ones, may hold. */
    public static final SettingKey<Integer> HEAP_PERCENT =
            SettingKeyFactory.integerKey(
                    "ingress",
                    "held-heap-percent",
                    1,
                    90,
                    DEFAULT_HEAP_PERCENT,
                    "Part of the heap that heads and bodies of requests may hold, in percent.");

    /** Largest number of header fields of a request. */
    public static final SettingKey<Integer> HEADER_FIELDS =
            integer(
                    "max-header-fields",
                    DEFAULT_HEADER_FIELDS,
                    "Header fields of a request; more are answered with 431.");

    /** Largest number of requests that a connection may send ahead of responses. */
    public static final SettingKey<Integer> PIPELINED_REQUESTS =
            integer(
                    "max-pipelined",
                    DEFAULT_PIPELINED_REQUESTS,
                    "Requests of a connection that come before the previous one is answered.");

    /** Least rate at which a caller sends a request. */
    public static final SettingKey<Integer> SEND_RATE =
            integer(
                    "min-send-bytes-per-s",
                    DEFAULT_BYTES_PER_SECOND,
                    "Least rate of sending a request, in force while a limit is half used.");

    /** Least rate at which a caller reads a response. */
    public static final SettingKey<Integer> READ_RATE =
            integer(
                    "min-read-bytes-per-s",
                    DEFAULT_BYTES_PER_SECOND,
                    "Least rate of reading a response, in force while a limit is half used.");

    private IngressKeys() {}

    /** Returns all keys. */
    public static List<SettingKey<?>> all() {
        return List.of(
                CONNECTIONS, HEAP_PERCENT, HEADER_FIELDS, PIPELINED_REQUESTS, SEND_RATE, READ_RATE);
    }

    /** The limits without settings. */
    public static IngressLimits defaultLimits() {
        return new IngressLimits(
                        DEFAULT_CONNECTIONS,
                        IngressLimits.shareOfHeap(heapBytes(), DEFAULT_HEAP_PERCENT),
                        DEFAULT_HEADER_FIELDS,
                        DEFAULT_PIPELINED_REQUESTS,
                        DEFAULT_BYTES_PER_SECOND,
                        DEFAULT_BYTES_PER_SECOND)
                .withDescriptors(descriptors());
    }

    /** The limits that the settings give on this virtual machine. */
    public static IngressLimits limits(Settings settings) {
        return new IngressLimits(
                        settings.value(CONNECTIONS),
                        IngressLimits.shareOfHeap(heapBytes(), settings.value(HEAP_PERCENT)),
                        settings.value(HEADER_FIELDS),
                        settings.value(PIPELINED_REQUESTS),
                        settings.value(SEND_RATE),
                        settings.value(READ_RATE))
                .withDescriptors(descriptors());
    }

    private static long heapBytes() {
        return Runtime.getRuntime().maxMemory();
    }

    private static long descriptors() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean os
                ? os.getMaxFileDescriptorCount()
                : Integer.MAX_VALUE;
    }

    private static SettingKey<Integer> integer(String name, int defaultValue, String doc) {
        return SettingKeyFactory.integerKey("ingress", name, 1, MAX_COUNT, defaultValue, doc);
    }
}
