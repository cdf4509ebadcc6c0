package org.banyanspoke.daemon.control.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.core.config.AcceptedTicket;
import org.banyanspoke.core.membership.Gossip;
import org.banyanspoke.core.membership.GossipUpdate;
import org.banyanspoke.core.membership.MemberState;
import org.banyanspoke.core.membership.MemberUpdate;
import org.banyanspoke.core.membership.RetiredUpdate;
import org.banyanspoke.core.membership.ServerUpdate;
import org.banyanspoke.core.quota.QuotaAmount;
import org.banyanspoke.peer.generated.TicketPush;

/** Converts between core types and messages. Malformed messages throw {@link IllegalArgumentException}. */
final class PeerMessages {
    private PeerMessages() {}

    static org.banyanspoke.peer.generated.Gossip toMessage(Gossip gossip) {
        org.banyanspoke.peer.generated.Gossip.Builder message = org.banyanspoke.peer.generated.Gossip.newBuilder()
                .setConfigNumber(gossip.configNumber())
                .addMembers(toMessage(gossip.sender()));
        for (GossipUpdate update : gossip.updates()) {
            if (update instanceof MemberUpdate member) {
                message.addMembers(toMessage(member));
            } else if (update instanceof ServerUpdate server) {
                message.addServers(toMessage(server));
            } else if (update instanceof RetiredUpdate retired) {
                message.addRetired(toMessage(retired));
            }
        }
        return message.build();
    }

    static Gossip fromMessage(org.banyanspoke.peer.generated.Gossip message) {
        if (message.getMembersCount() == 0) {
            throw new IllegalArgumentException("gossip does not name its sender");
        }
        List<GossipUpdate> updates = new ArrayList<>();
        message.getMembersList().stream().skip(1).forEach(member -> updates.add(fromMessage(member)));
        message.getServersList().forEach(server -> updates.add(fromMessage(server)));
        message.getRetiredList().forEach(retired -> updates.add(fromMessage(retired)));
        return new Gossip(message.getConfigNumber(), fromMessage(message.getMembers(0)), updates);
    }

    static TicketPush toMessage(AcceptedTicket accepted) {
        return TicketPush.newBuilder()
                .setOffset(accepted.offset())
                .setTicket(json(accepted.ticket()))
                .build();
    }

    static AcceptedTicket fromMessage(TicketPush message) {
        return new AcceptedTicket(parse(message.getTicket(), Ticket.class), message.getOffset());
    }

    static List<org.banyanspoke.peer.generated.QuotaAmount> toMessage(Map<TeamId, QuotaAmount> amounts) {
        List<org.banyanspoke.peer.generated.QuotaAmount> messages = new ArrayList<>();
        amounts.forEach((team, amount) -> messages.add(org.banyanspoke.peer.generated.QuotaAmount.newBuilder()
                .setTeam(team.value())
                .setMicroStartsPerSecond(amount.microStartsPerSecond())
                .setTasksInFlight(amount.tasksInFlight())
                .build()));
        return messages;
    }

    static Map<TeamId, QuotaAmount> fromMessage(List<org.banyanspoke.peer.generated.QuotaAmount> messages) {
        Map<TeamId, QuotaAmount> amounts = new HashMap<>();
        for (org.banyanspoke.peer.generated.QuotaAmount message : messages) {
            amounts.put(
                    new TeamId(message.getTeam()),
                    new QuotaAmount(message.getMicroStartsPerSecond(), message.getTasksInFlight()));
        }
        return amounts;
    }

    static ByteString json(Object value) {
        try {
            return ByteString.copyFrom(Json.mapper().writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(value.getClass() + " cannot be written as JSON", e);
        }
    }

    static <T> T parse(ByteString json, Class<T> type) {
        try {
            return Json.mapper().readValue(json.newInput(), type);
        } catch (IOException e) {
            throw new IllegalArgumentException("the message holds no " + type.getSimpleName(), e);
        }
    }

    private static org.banyanspoke.peer.generated.MemberUpdate toMessage(MemberUpdate update) {
        return org.banyanspoke.peer.generated.MemberUpdate.newBuilder()
                .setHost(update.host().value())
                .setIncarnation(update.incarnation().value())
                .setHeartbeat(update.heartbeat())
                .setState(org.banyanspoke.peer.generated.MemberState.valueOf(
                        update.state().name()))
                .build();
    }

    private static MemberUpdate fromMessage(org.banyanspoke.peer.generated.MemberUpdate message) {
        return new MemberUpdate(
                new HostId(message.getHost()),
                new Incarnation(message.getIncarnation()),
                message.getHeartbeat(),
                MemberState.valueOf(message.getState().name()));
    }

    private static org.banyanspoke.peer.generated.ServerUpdate toMessage(ServerUpdate update) {
        return org.banyanspoke.peer.generated.ServerUpdate.newBuilder()
                .setServer(update.server().value())
                .setIncarnation(update.incarnation())
                .setVersion(update.version())
                .setLeaving(update.leaving())
                .setConfigNumber(update.configNumber())
                .build();
    }

    private static ServerUpdate fromMessage(org.banyanspoke.peer.generated.ServerUpdate message) {
        return new ServerUpdate(
                new ServerId(message.getServer()),
                message.getIncarnation(),
                message.getVersion(),
                message.getLeaving(),
                message.getConfigNumber());
    }

    private static org.banyanspoke.peer.generated.RetiredUpdate toMessage(RetiredUpdate update) {
        return org.banyanspoke.peer.generated.RetiredUpdate.newBuilder()
                .setIncarnation(update.incarnation().value())
                .setHost(update.host().value())
                .setSuccessor(
                        update.successor() == null ? "" : update.successor().value())
                .setTransfers(update.transfers())
                .setAgeMillis(update.ageMillis())
                .build();
    }

    private static RetiredUpdate fromMessage(org.banyanspoke.peer.generated.RetiredUpdate message) {
        return new RetiredUpdate(
                new Incarnation(message.getIncarnation()),
                new HostId(message.getHost()),
                message.getSuccessor().isEmpty() ? null : new HostId(message.getSuccessor()),
                message.getTransfers(),
                message.getAgeMillis());
    }
}
