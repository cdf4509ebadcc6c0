package org.banyanspoke.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jboss.logging.Logger;

/** Starts services in the order of registration, finds them by name and stops them in reverse order. */
public final class Kernel {
    private static final Logger LOG = Logger.getLogger(Kernel.class);

    private final Map<ServiceName<?>, Service> services = new LinkedHashMap<>();
    private final Deque<Map.Entry<ServiceName<?>, Service>> started = new ArrayDeque<>();

    /**
     * Adds a service.
     *
     * @throws IllegalStateException if the name is taken
     */
    public synchronized <T extends Service> void register(ServiceName<T> name, T service) {
        boolean taken = services.keySet().stream().anyMatch(n -> n.value().equals(name.value()));
        if (taken) {
            throw new IllegalStateException("service \"" + name + "\" is already registered");
        }
        services.put(name, service);
    }

    /**
     * Finds a service.
     *
     * @throws IllegalStateException if no service with this name and type is registered
     */
    public synchronized <T> T lookup(ServiceName<T> name) {
        Service service = services.get(name);
        if (service == null) {
            throw new IllegalStateException("service \"" + name + "\" is not registered");
        }
        return name.type().cast(service);
    }

    /**
     * Starts all services.
     *
     * @throws Exception what the first failing service threw, after stopping those started before it
     */
    public synchronized void start() throws Exception {
        for (Map.Entry<ServiceName<?>, Service> entry : services.entrySet()) {
            try {
                entry.getValue().start(this);
            } catch (Exception e) {
                stop();
                throw e;
            }
            started.push(entry);
        }
    }

    /** Stops the started services in reverse order. A failing stop is logged and does not keep others from stopping. */
    public synchronized void stop() {
        while (!started.isEmpty()) {
            Map.Entry<ServiceName<?>, Service> entry = started.pop();
            try {
                entry.getValue().stop();
            } catch (Exception e) {
                LOG.errorf(e, "service \"%s\" did not stop cleanly", entry.getKey());
            }
        }
    }
}
