package org.banyanspoke.kernel;

/** Component of the process with a start and stop lifecycle. */
public interface Service {
    /**
     * Starts the service. Services registered before this one are already running and can be looked up.
     *
     * @param kernel used to look up other services
     * @throws Exception if the service cannot start; the kernel then stops the services that are already running
     */
    void start(Kernel kernel) throws Exception;

    /**
     * Stops the service and waits for its termination. Called once after a successful start.
     *
     * @throws Exception if the stop fails; the kernel still stops the other services
     */
    void stop() throws Exception;
}
