package org.banyanspoke.bench;

/** Size and network delays of a site from docs/design.md, section 1. */
public enum Shape {
    /** Nairobi: 3 zones, racks of 8, urgent work only. */
    KILIMA(3, 33, 8, 8, true, 1_000, 1_000),
    /** Riga: 4 zones, racks of 6, all urgency classes. */
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

    /** Returns the one-way delay between clients and entry hosts in microseconds. */
    public long clientDelayMicros() {
        return clientDelayMicros;
    }

    /** Returns the number of availability zones. */
    public int zones() {
        return zones;
    }

    /** Returns the scaled number of backend servers, at least one per zone. */
    public int servers(double scale) {
        return Math.max(zones, (int) Math.round(servers * scale));
    }

    /** Returns the scaled number of entry hosts, at least one per zone. */
    public int hosts(double scale) {
        return Math.max(zones, (int) Math.round(hosts * scale));
    }

    /** Returns the scaled number of backend servers per rack, at least one. */
    public int serversPerRack(double scale) {
        return Math.max(1, (int) Math.round(serversPerRack * scale));
    }

    /** Returns whether the steady load of the site consists of urgent work only. */
    public boolean urgentOnly() {
        return urgentOnly;
    }
}
