package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.ConfigReplica;
import org.wigeonferry.decisions.FreshnessTracker;
import org.wigeonferry.decisions.KnownEntries;
import org.wigeonferry.decisions.Peer;
import org.wigeonferry.decisions.PeerRevision;
import org.wigeonferry.decisions.SuspectRegister;
import org.wigeonferry.decisions.VersionEvidenceTotals;
import org.wigeonferry.settings.CatalogRenderer;
import org.wigeonferry.settings.ReleaseNoteApplier;
import org.wigeonferry.settings.Settings;

/**
 * The part of the control state that an entry and an agent both have: the configuration, the known
 * peers, and what other processes report.
 *
 * <p>Not thread safe; owned by the control thread. Only {@link #catalog()} may be read by any
 * thread: it is an immutable value behind a volatile reference.
 */
public final class ControlState {
    private static final Logger LOG = LoggerFactory.getLogger(ControlState.class);
    private static final int MAX_KEPT_NOTES = 512;
    private static final int MAX_SUSPECTED_REQUESTS = 4096;
    private static final int MAX_PEER_REVISIONS = 4096;
    private static final Duration SUSPICION_LIFETIME = Duration.ofMinutes(10);

    private final NodeIdentity identity;
    private final ConfigReplica replica =
            new ConfigReplica(
                    ReleaseNoteApplier::applyCommitted, CatalogRenderer::render, MAX_KEPT_NOTES);
    private final FreshnessTracker freshness;
    private final KnownEntries peers;
    private final SuspectRegister suspects =
            new SuspectRegister(MAX_SUSPECTED_REQUESTS, SUSPICION_LIFETIME);
    private final VersionEvidenceTotals evidence = new VersionEvidenceTotals();
    private final Map<NodeId, PeerRevision> revisionsByNode = new HashMap<>();
    private final List<Consumer<Catalog>> catalogListeners = new ArrayList<>();
    private final List<Runnable> revisionListeners = new ArrayList<>();
    private volatile Catalog catalog = Catalog.EMPTY;

    /** Creates the state of a process that has no configuration yet. */
    public ControlState(NodeIdentity identity, Settings settings) {
        this.identity = identity;
        freshness = new FreshnessTracker(settings.value(NodeKeys.FRESHNESS_BOUND));
        peers =
                new KnownEntries(
                        identity.node(),
                        settings.value(NodeKeys.MAX_PEERS),
                        settings.value(NodeKeys.PEER_LIFETIME),
                        new Random(identity.startMillis()));
    }

    /** The identity of this process; may be read by any thread. */
    public NodeIdentity identity() {
        return identity;
    }

    /** The newest catalog; may be read by any thread. */
    public Catalog catalog() {
        return catalog;
    }

    /** When the configuration was last confirmed by the store and by each availability zone. */
    public FreshnessTracker freshness() {
        return freshness;
    }

    /** The entries that this process knows; agents are not included. */
    public KnownEntries peers() {
        return peers;
    }

    /** Requests suspected of crashing upstreams, and known poison requests. */
    public SuspectRegister suspects() {
        return suspects;
    }

    /** Counts of answers, errors and ratings of model versions. */
    public VersionEvidenceTotals evidence() {
        return evidence;
    }

    /** Adds a listener that is called with every new catalog. */
    public void addCatalogListener(Consumer<Catalog> listener) {
        catalogListeners.add(listener);
    }

    /**
     * Returns the release notes that a process at the given revision needs to reach the revision of
     * this process.
     */
    public List<CommittedNote> notesSince(Revision revision) {
        return replica.notesSince(revision);
    }

    /** Applies release notes in order; returns whether the revision rose. */
    public boolean applyNotes(Collection<CommittedNote> notes) {
        boolean revisionRose = false;
        for (CommittedNote note : notes) {
            revisionRose |= applyNote(note);
        }
        if (revisionRose) {
            catalog = replica.catalog();
            LOG.atInfo()
                    .addKeyValue("revision", catalog.revision().number())
                    .log("configuration in force");
            catalogListeners.forEach(listener -> listener.accept(catalog));
        }
        return revisionRose;
    }

    /**
     * Counts this process for its own zone, then returns whether the configuration is recent enough
     * to admit work.
     */
    public boolean checkFreshness(long nowNanos) {
        freshness.recordOwnReport(identity.zone(), nowNanos);
        return freshness.checkFreshness(zones(), nowNanos);
    }

    /** The availability zones of all upstreams, and the zone of this process. */
    public Set<ZoneId> zones() {
        Set<ZoneId> zones = new HashSet<>();
        zones.add(identity.zone());
        catalog.upstreams().values().stream().map(Upstream::zone).forEach(zones::add);
        return zones;
    }

    /** Records the revision that a peer reported and calls the revision listeners. */
    public void onRevisionReport(Peer peer, Revision revision) {
        if (revisionsByNode.size() < MAX_PEER_REVISIONS
                || revisionsByNode.containsKey(peer.node())) {
            revisionsByNode.put(peer.node(), new PeerRevision(peer, revision));
            revisionListeners.forEach(Runnable::run);
        }
    }

    /** Adds a listener that is called whenever a peer has reported its revision. */
    public void addRevisionReportListener(Runnable listener) {
        revisionListeners.add(listener);
    }

    /**
     * Removes the peers last seen more than {@code maxAge} ago; returns the others with the
     * revision that each last reported.
     */
    public List<PeerRevision> peerRevisions(long nowNanos, Duration maxAge) {
        revisionsByNode
                .values()
                .removeIf(r -> nowNanos - r.peer().lastSeenNanos() > maxAge.toNanos());
        return List.copyOf(revisionsByNode.values());
    }

    private boolean applyNote(CommittedNote note) {
        try {
            return replica.tryApply(note);
        } catch (ReleaseNoteException e) {
            LOG.atError()
                    .addKeyValue("revision", note.revision().number())
                    .log("committed note does not fit", e);
            return false;
        }
    }

    /** Picks a random live entry in another availability zone that is not in {@code except}. */
    public Optional<Peer> pickPeerInOtherZone(Collection<NodeId> except, long nowNanos) {
        return peers.pick(
                peer -> !peer.zone().equals(identity.zone()) && !except.contains(peer.node()),
                nowNanos);
    }
}
