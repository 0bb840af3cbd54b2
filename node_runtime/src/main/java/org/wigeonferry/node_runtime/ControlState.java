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
import org.wigeonferry.settings.CatalogText;
import org.wigeonferry.settings.Notes;
import org.wigeonferry.settings.Settings;

/**
 * Control state that entries and agents share.
 *
 * <p>Not thread safe; owned by the control thread. Only {@link #catalog()} may be read by any
 * thread: it is an immutable value behind a volatile reference.
 */
public final class ControlState {
    private static final Logger LOG = LoggerFactory.getLogger(ControlState.class);
    private static final int LOG_CAPACITY = 512;
    private static final int MAX_SUSPECTS = 4096;
    private static final int MAX_HOLDERS = 4096;
    private static final Duration SUSPECT_LIFETIME = Duration.ofMinutes(10);

    private final NodeIdentity identity;
    private final ConfigReplica replica =
            new ConfigReplica(Notes::apply, CatalogText::render, LOG_CAPACITY);
    private final FreshnessTracker freshness;
    private final KnownEntries peers;
    private final SuspectRegister suspects = new SuspectRegister(MAX_SUSPECTS, SUSPECT_LIFETIME);
    private final VersionEvidenceTotals evidence = new VersionEvidenceTotals();
    private final Map<NodeId, PeerRevision> holders = new HashMap<>();
    private final List<Consumer<Catalog>> listeners = new ArrayList<>();
    private final List<Runnable> holderListeners = new ArrayList<>();
    private volatile Catalog catalog = Catalog.EMPTY;

    /** Starts without a configuration. */
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

    /** Who this process is; may be read by any thread. */
    public NodeIdentity identity() {
        return identity;
    }

    /** The newest catalog; may be read by any thread. */
    public Catalog catalog() {
        return catalog;
    }

    /** The ledger of news. */
    public FreshnessTracker freshness() {
        return freshness;
    }

    /** The entries this process knows. */
    public KnownEntries peers() {
        return peers;
    }

    /** Requests that crash upstreams. */
    public SuspectRegister suspects() {
        return suspects;
    }

    /** Evidence on versions. */
    public VersionEvidenceTotals evidence() {
        return evidence;
    }

    /** Tells a listener of every new catalog. */
    public void addCatalogListener(Consumer<Catalog> listener) {
        listeners.add(listener);
    }

    /** Notes that lead a peer from its revision to ours. */
    public List<CommittedNote> notesSince(Revision revision) {
        return replica.notesSince(revision);
    }

    /** Takes over notes in their order; tells whether the revision rose. */
    public boolean applyNotes(Collection<CommittedNote> notes) {
        boolean risen = false;
        for (CommittedNote note : notes) {
            risen |= applyNotes(note);
        }
        if (risen) {
            catalog = replica.catalog();
            LOG.atInfo()
                    .addKeyValue("revision", catalog.revision().number())
                    .log("configuration in force");
            listeners.forEach(listener -> listener.accept(catalog));
        }
        return risen;
    }

    /** Tells whether work may be admitted by the catalog. */
    public boolean checkFreshness(long nowNanos) {
        freshness.recordOwnZone(identity.zone(), nowNanos);
        return freshness.checkFreshness(zones(), nowNanos);
    }

    /** All availability zones of the catalog, and this process's own. */
    public Set<ZoneId> zones() {
        Set<ZoneId> zones = new HashSet<>();
        zones.add(identity.zone());
        catalog.upstreams().values().stream().map(Upstream::zone).forEach(zones::add);
        return zones;
    }

    /** Notes the revision that a peer holds. */
    public void onRevisionReport(Peer peer, Revision revision) {
        if (holders.size() < MAX_HOLDERS || holders.containsKey(peer.node())) {
            holders.put(peer.node(), new PeerRevision(peer, revision));
            holderListeners.forEach(Runnable::run);
        }
    }

    /** Tells a listener whenever a peer reported its revision. */
    public void addRevisionReportListener(Runnable listener) {
        holderListeners.add(listener);
    }

    /** Live processes and the revision that each is known to hold. */
    public List<PeerRevision> peerRevisions(long nowNanos, Duration maxAge) {
        holders.values().removeIf(h -> nowNanos - h.peer().lastSeenNanos() > maxAge.toNanos());
        return List.copyOf(holders.values());
    }

    private boolean applyNotes(CommittedNote note) {
        try {
            return replica.tryApply(note);
        } catch (ReleaseNoteException e) {
            LOG.atError()
                    .addKeyValue("revision", note.revision().number())
                    .log("committed note does not fit", e);
            return false;
        }
    }

    /** Finds a live peer other than those named. */
    public Optional<Peer> pickPeerInOtherZone(Collection<NodeId> except, long nowNanos) {
        return peers.pick(
                peer -> !peer.zone().equals(identity.zone()) && !except.contains(peer.node()),
                nowNanos);
    }
}
