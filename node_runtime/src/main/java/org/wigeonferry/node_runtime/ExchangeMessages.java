package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.Peer;
import org.wigeonferry.decisions.Role;
import org.wigeonferry.decisions.RollOuts;
import org.wigeonferry.decisions.Suspicion;
import org.wigeonferry.decisions.VersionEvidence;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.gen.EvidenceMessage;
import org.wigeonferry.messages.gen.ExchangeMessage;
import org.wigeonferry.messages.gen.MemberMessage;
import org.wigeonferry.messages.gen.NoteMessage;
import org.wigeonferry.messages.gen.SuspicionMessage;
import org.wigeonferry.messages.gen.ZoneAgeMessage;

/**
 * Builds exchange messages from the control state and applies received messages to it.
 *
 * <p>Not thread safe; used on the control thread.
 */
final class ExchangeMessages {
    private static final int MAX_MEMBERS_PER_MESSAGE = 4;
    private static final int MAX_SUSPICIONS_PER_MESSAGE = 16;

    private ExchangeMessages() {}

    /** Builds a message for a peer at the given revision, with the release notes that it lacks. */
    static ExchangeMessage buildMessage(ControlState state, Revision peerRevision, long nowNanos) {
        ExchangeMessage message = new ExchangeMessage();
        message.setSender(toMessage(selfAsPeer(state, nowNanos), nowNanos));
        message.setRevision(state.catalog().revision().number());
        message.setNotes(
                state.notesSince(peerRevision).stream().map(ExchangeMessages::toMessage).toList());
        message.setStoreAgeMillis(state.freshness().storeAge(nowNanos).toMillis());
        message.setZoneAges(zoneAges(state, nowNanos));
        message.setMembers(
                state.peers().pickUpTo(MAX_MEMBERS_PER_MESSAGE, nowNanos).stream()
                        .map(peer -> toMessage(peer, nowNanos))
                        .toList());
        message.setSuspicions(suspicions(state, nowNanos));
        message.setEvidence(evidence(state));
        return message;
    }

    /** Applies a received message to the control state and returns its sender. */
    static Peer applyMessage(ControlState state, ExchangeMessage message, long nowNanos)
            throws CodecException {
        try {
            Peer sender = toPeer(message.getSender(), nowNanos);
            state.peers().update(sender);
            message.getMembers().forEach(m -> state.peers().update(toPeer(m, nowNanos)));
            state.applyNotes(message.getNotes().stream().map(ExchangeMessages::toNote).toList());
            message.getSuspicions()
                    .forEach(
                            s ->
                                    state.suspects()
                                            .merge(
                                                    new Suspicion(
                                                            s.getDigest(),
                                                            s.isCondemned(),
                                                            s.getPosition(),
                                                            s.getLosses(),
                                                            nowNanos)));
            state.onRevisionReport(sender, new Revision(message.getRevision()));
            NodeId incarnationId =
                    new NodeId(sender.node() + "." + Long.toString(sender.incarnation(), 36));
            message.getEvidence()
                    .forEach(
                            e ->
                                    state.evidence()
                                            .onReport(
                                                    incarnationId,
                                                    new VersionId(e.getVersion()),
                                                    toEvidence(e)));
            return sender;
        } catch (IllegalArgumentException e) {
            throw new CodecException("read exchange", e);
        }
    }

    /**
     * Records the ages of a reply as of the time at which the request was sent. Does nothing if the
     * sender of the reply has a newer configuration than this process.
     */
    static void recordFreshness(ControlState state, ExchangeMessage reply, long sentNanos)
            throws CodecException {
        boolean behindSender = reply.getRevision() > state.catalog().revision().number();
        if (behindSender) {
            return;
        }
        try {
            state.freshness().onStoreRead(sentNanos - millisToNanos(reply.getStoreAgeMillis()));
            reply.getZoneAges()
                    .forEach(
                            age ->
                                    state.freshness()
                                            .onZoneReport(
                                                    new ZoneId(age.getZone()),
                                                    sentNanos - millisToNanos(age.getAgeMillis())));
        } catch (IllegalArgumentException e) {
            throw new CodecException("read exchange", e);
        }
    }

    private static Peer selfAsPeer(ControlState state, long nowNanos) {
        NodeIdentity self = state.identity();
        return new Peer(
                self.node(),
                self.role(),
                self.zone(),
                self.address(),
                self.startMillis(),
                nowNanos);
    }

    private static List<ZoneAgeMessage> zoneAges(ControlState state, long nowNanos) {
        // Counts this process for its own zone; the result is not needed.
        state.checkFreshness(nowNanos);
        List<ZoneAgeMessage> ages = new ArrayList<>();
        state.freshness()
                .zoneAges(nowNanos)
                .forEach((zone, age) -> ages.add(new ZoneAgeMessage(zone.value(), age.toMillis())));
        return ages;
    }

    private static List<SuspicionMessage> suspicions(ControlState state, long nowNanos) {
        List<Suspicion> all = state.suspects().currentSuspicions(nowNanos);
        return all
                .subList(Math.max(0, all.size() - MAX_SUSPICIONS_PER_MESSAGE), all.size())
                .stream()
                .map(
                        s ->
                                new SuspicionMessage(
                                        s.digest(), s.poison(), s.answerBytes(), s.crashes()))
                .toList();
    }

    /**
     * The counts that this process itself has of versions in roll-outs and of the versions that
     * they replace.
     */
    private static List<EvidenceMessage> evidence(ControlState state) {
        Catalog catalog = state.catalog();
        return RollOuts.partiallyExposedVersions(catalog).stream()
                .flatMap(
                        version ->
                                Stream.concat(
                                        Stream.of(version),
                                        RollOuts.baseline(version, catalog).stream()))
                .map(ModelVersion::id)
                .distinct()
                .map(id -> toMessage(id, state.evidence().ownTotal(id)))
                .toList();
    }

    private static EvidenceMessage toMessage(VersionId version, VersionEvidence evidence) {
        return new EvidenceMessage(
                version.value(),
                evidence.answers(),
                evidence.errors(),
                evidence.ratingCount(),
                evidence.ratingSum());
    }

    private static VersionEvidence toEvidence(EvidenceMessage message) {
        return new VersionEvidence(
                message.getAnswers(),
                message.getErrors(),
                message.getRatings(),
                message.getRatingSum());
    }

    private static NoteMessage toMessage(CommittedNote note) {
        return new NoteMessage(note.revision().number(), note.text(), note.snapshot());
    }

    private static CommittedNote toNote(NoteMessage message) {
        return new CommittedNote(
                new Revision(message.getRevision()), message.getText(), message.isSnapshot());
    }

    private static MemberMessage toMessage(Peer peer, long nowNanos) {
        long ageNanos = nowNanos - peer.lastSeenNanos();
        return new MemberMessage(
                peer.node().value(),
                peer.role().name().toLowerCase(Locale.ROOT),
                peer.zone().value(),
                peer.address().toString(),
                peer.incarnation(),
                Duration.ofNanos(ageNanos).toMillis());
    }

    private static Peer toPeer(MemberMessage message, long nowNanos) {
        return new Peer(
                new NodeId(message.getNode()),
                Role.valueOf(message.getRole().toUpperCase(Locale.ROOT)),
                new ZoneId(message.getZone()),
                HostAddress.parse(message.getAddress()),
                message.getEpoch(),
                nowNanos - millisToNanos(message.getAgeMillis()));
    }

    private static long millisToNanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
