package org.banyanspoke.bench;

/** A site of docs/design.md, section 1. */
public enum Shape {
    /** Nairobi: 3 zones, racks of 8, all work urgent. */
    KILIMA(3, 33, 8, 8, true, 1_000, 1_000),
    /** Riga: 4 zones, racks of 6, all classes. */
    DAUGAVA(4, 32, 8, 6, false, 1_400, 3_000);

    private final int zones;
    private final int servers;
    private final int hosts;
    private final int serversPerRack;
    private final boolean urgentOnly;
    private final long zoneDelayMicros;
    private final long clientDelayMicros;

    Shape(
            int zones,
            int servers,
            int hosts,
            int serversPerRack,
            boolean urgentOnly,
            long zoneDelayMicros,
            long clientDelayMicros) {
        this.zones = zones;
        this.servers = servers;
        this.hosts = hosts;
        this.serversPerRack = serversPerRack;
        this.urgentOnly = urgentOnly;
        this.zoneDelayMicros = zoneDelayMicros;
        this.clientDelayMicros = clientDelayMicros;
    }

    /** Returns the one-way delay between zones in microseconds. */
    public long zoneDelayMicros() {
        return zoneDelayMicros;
    }

    /** Returns the one-way delay between callers and entry hosts in microseconds. */
    public long clientDelayMicros() {
        return clientDelayMicros;
    }

    /** Returns the number of availability zones. */
    public int zones() {
        return zones;
    }

    /** Returns the number of backend servers at a scale, at least 1 in each zone. */
    public int servers(double scale) {
        return Math.max(zones, (int) Math.round(servers * scale));
    }

    /** Returns the number of entry hosts at a scale, at least 1 in each zone. */
    public int hosts(double scale) {
        return Math.max(zones, (int) Math.round(hosts * scale));
    }

    /** Returns the number of backend servers in a rack at a scale. */
    public int serversPerRack(double scale) {
        return Math.max(1, (int) Math.round(serversPerRack * scale));
    }

    /** Returns whether the steady load of the site is all urgent. */
    public boolean urgentOnly() {
        return urgentOnly;
    }
}
