package org.banyanspoke.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ZoneId;

/** Members that exchange messages in simulated time, with message loss and network partitions. */
final class SimulatedNetwork {
    private static final long TICK_MILLIS = 100;

    private record Event(long atMillis, long sequence, Runnable action) {}

    private final Map<HostId, Swim> members = new HashMap<>();
    private final Set<HostId> stopped = new HashSet<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparing(Event::sequence));
    private final List<EntryHostConfig> roster;
    private final UniformRandomProvider random;
    private final double lossRate;
    private BiPredicate<HostId, HostId> partition = (from, to) -> false;
    private long nowMillis;
    private long sequence;
    private long messages;

    SimulatedNetwork(int size, double lossRate, long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.lossRate = lossRate;
        this.roster = IntStream.range(0, size)
                .mapToObj(i -> new EntryHostConfig(host(i), new ZoneId("z" + i % 3), address(host(i))))
                .toList();
        roster.forEach(config -> start(config.id(), 1));
    }

    static HostId host(int index) {
        return new HostId("h" + index);
    }

    private static String address(HostId host) {
        return "10.0.0.1:" + host.value().substring(1);
    }

    /** Starts a process of a host, replacing an earlier one. */
    void start(HostId host, long incarnation) {
        long bits = incarnation * 1_000 + Integer.parseInt(host.value().substring(1));
        Swim swim = new Swim(
                host,
                new Incarnation(bits),
                () -> nowMillis * 1_000_000,
                RandomSource.XO_RO_SHI_RO_128_PP.create(bits));
        swim.table().setRoster(roster, address(host));
        members.put(host, swim);
        stopped.remove(host);
        scheduleTick(host, swim, random.nextInt((int) TICK_MILLIS));
    }

    void stop(HostId host) {
        stopped.add(host);
    }

    void partition(BiPredicate<HostId, HostId> pairs) {
        partition = (from, to) -> pairs.test(from, to) || pairs.test(to, from);
    }

    Swim member(int index) {
        return members.get(host(index));
    }

    long messages() {
        return messages;
    }

    /** Runs the simulation for the given time. */
    void run(long millis) {
        long end = nowMillis + millis;
        while (!events.isEmpty() && events.peek().atMillis() <= end) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = end;
    }

    /** Returns the state of a member as seen by each other running member. */
    List<MemberState> observedStates(int index) {
        List<MemberState> observed = new ArrayList<>();
        members.forEach((host, swim) -> {
            if (!host.equals(host(index)) && !stopped.contains(host)) {
                MemberUpdate latest =
                        swim.table().find(host(index)).orElseThrow().latest();
                observed.add(latest == null ? null : latest.state());
            }
        });
        return observed;
    }

    private void scheduleTick(HostId host, Swim swim, long delayMillis) {
        schedule(delayMillis, () -> {
            if (members.get(host) != swim || stopped.contains(host)) {
                return;
            }
            swim.tick().forEach(action -> perform(host, swim, action));
            scheduleTick(host, swim, TICK_MILLIS);
        });
    }

    private void perform(HostId host, Swim swim, ProbeSchedule.Action action) {
        if (action instanceof ProbeSchedule.Direct direct) {
            probe(host, direct.target(), () -> swim.onProbeAck(direct.target()));
        } else if (action instanceof ProbeSchedule.Indirect indirect) {
            for (HostId proxy : indirect.proxies()) {
                Runnable answered = () -> send(proxy, host, () -> swim.onProbeAck(indirect.target()));
                send(host, proxy, () -> probe(proxy, indirect.target(), answered));
            }
        }
    }

    private void probe(HostId from, HostId to, Runnable onAnswer) {
        Gossip gossip = members.get(from).gossipFor(to);
        send(from, to, () -> {
            members.get(to).onGossip(gossip);
            Gossip answer = members.get(to).replyTo(gossip.sender());
            send(to, from, () -> {
                members.get(from).onGossip(answer);
                onAnswer.run();
            });
        });
    }

    private void send(HostId from, HostId to, Runnable onArrival) {
        messages++;
        if (partition.test(from, to) || random.nextDouble() < lossRate) {
            return;
        }
        schedule(1 + random.nextInt(3), () -> {
            if (!stopped.contains(to)) {
                onArrival.run();
            }
        });
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, sequence++, action));
    }
}
