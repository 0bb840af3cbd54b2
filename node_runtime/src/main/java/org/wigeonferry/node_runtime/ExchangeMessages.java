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
 * Turns control state into exchange messages and takes messages over.
 *
 * <p>Not thread safe; used on the control thread.
 */
final class ExchangeMessages {
    private static final int MAX_MEMBERS = 4;
    private static final int MAX_SUSPICIONS = 16;

    private ExchangeMessages() {}

    /** Writes what this process has to say to a peer that holds a revision. */
    static ExchangeMessage buildMessage(ControlState state, Revision peerRevision, long nowNanos) {
        ExchangeMessage message = new ExchangeMessage();
        message.setSender(member(self(state, nowNanos), nowNanos));
        message.setRevision(state.catalog().revision().number());
        message.setNotes(
                state.notesSince(peerRevision).stream().map(ExchangeMessages::toMessage).toList());
        message.setStoreAgeMillis(state.freshness().storeAge(nowNanos).toMillis());
        message.setZoneAges(zoneAges(state, nowNanos));
        message.setMembers(
                state.peers().pickUpTo(MAX_MEMBERS, nowNanos).stream()
                        .map(peer -> member(peer, nowNanos))
                        .toList());
        message.setSuspicions(suspicions(state, nowNanos));
        message.setEvidence(evidence(state));
        return message;
    }

    /** Takes over what a peer said; returns the peer. */
    static Peer applyMessage(ControlState state, ExchangeMessage message, long nowNanos)
            throws CodecException {
        try {
            Peer sender = peer(message.getSender(), nowNanos);
            state.peers().update(sender);
            message.getMembers().forEach(m -> state.peers().update(peer(m, nowNanos)));
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
            NodeId incarnation =
                    new NodeId(sender.node() + "." + Long.toString(sender.incarnation(), 36));
            message.getEvidence()
                    .forEach(
                            e ->
                                    state.evidence()
                                            .onReport(
                                                    incarnation,
                                                    new VersionId(e.getVersion()),
                                                    toEvidence(e)));
            return sender;
        } catch (IllegalArgumentException e) {
            throw new CodecException("read exchange", e);
        }
    }

    /** Counts the news of a reply from the moment at which the question was asked. */
    static void recordFreshness(ControlState state, ExchangeMessage reply, long askedNanos)
            throws CodecException {
        boolean behind = reply.getRevision() > state.catalog().revision().number();
        if (behind) {
            return;
        }
        try {
            state.freshness().onStoreRead(askedNanos - nanos(reply.getStoreAgeMillis()));
            reply.getZoneAges()
                    .forEach(
                            age ->
                                    state.freshness()
                                            .onZoneReport(
                                                    new ZoneId(age.getZone()),
                                                    askedNanos - nanos(age.getAgeMillis())));
        } catch (IllegalArgumentException e) {
            throw new CodecException("read exchange", e);
        }
    }

    private static Peer self(ControlState state, long nowNanos) {
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
        state.checkFreshness(nowNanos);
        List<ZoneAgeMessage> ages = new ArrayList<>();
        state.freshness()
                .zoneAges(nowNanos)
                .forEach((zone, age) -> ages.add(new ZoneAgeMessage(zone.value(), age.toMillis())));
        return ages;
    }

    private static List<SuspicionMessage> suspicions(ControlState state, long nowNanos) {
        List<Suspicion> all = state.suspects().currentSuspicions(nowNanos);
        return all.subList(Math.max(0, all.size() - MAX_SUSPICIONS), all.size()).stream()
                .map(
                        s ->
                                new SuspicionMessage(
                                        s.digest(), s.poison(), s.answerPosition(), s.crashes()))
                .toList();
    }

    /** Own evidence on the versions of roll-outs and on those they replace. */
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

    private static MemberMessage member(Peer peer, long nowNanos) {
        long ageNanos = nowNanos - peer.lastSeenNanos();
        return new MemberMessage(
                peer.node().value(),
                peer.role().name().toLowerCase(Locale.ROOT),
                peer.zone().value(),
                peer.address().toString(),
                peer.incarnation(),
                Duration.ofNanos(ageNanos).toMillis());
    }

    private static Peer peer(MemberMessage message, long nowNanos) {
        return new Peer(
                new NodeId(message.getNode()),
                Role.valueOf(message.getRole().toUpperCase(Locale.ROOT)),
                new ZoneId(message.getZone()),
                HostAddress.parse(message.getAddress()),
                message.getEpoch(),
                nowNanos - nanos(message.getAgeMillis()));
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
