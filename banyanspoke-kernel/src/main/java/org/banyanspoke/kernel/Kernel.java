package org.banyanspoke.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jboss.logging.Logger;

/** Service container that starts services in registration order and stops them in reverse order. */
public final class Kernel {
    private static final Logger LOG = Logger.getLogger(Kernel.class);

    private final Map<ServiceName<?>, Service> services = new LinkedHashMap<>();
    private final Deque<Map.Entry<ServiceName<?>, Service>> started = new ArrayDeque<>();

    /**
     * Registers a service.
     *
     * @throws IllegalStateException if a service with this name is already registered
     */
    public synchronized <T extends Service> void register(ServiceName<T> name, T service) {
        boolean nameInUse = services.keySet().stream().anyMatch(n -> n.value().equals(name.value()));
        if (nameInUse) {
            throw new IllegalStateException("service \"" + name + "\" is already registered");
        }
        services.put(name, service);
    }

    /**
     * Looks up a service.
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
     * Starts all services. If one fails to start, stops those already started.
     *
     * @throws Exception the failure of the service that did not start
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

    /** Stops the started services in reverse order. If one fails to stop, logs the failure and stops the others. */
    public synchronized void stop() {
        while (!started.isEmpty()) {
            Map.Entry<ServiceName<?>, Service> entry = started.pop();
            try {
                entry.getValue().stop();
            } catch (Exception e) {
                LOG.errorf(e, "service \"%s\" failed to stop", entry.getKey());
            }
        }
    }
}
